"""Every order of a few events around one call that may run only once.

A forwarder, two upstreams' nodes and their targets are real; the network and
the time are the test's. A call is sent; then messages are delivered one way or
both, links are cut, nodes restart, targets end their runs and time passes, in
every order of so many steps. In the end everything is delivered.
"""

import asyncio
import collections.abc
import logging
import random
import unittest
import unittest.mock

from eelgrasswalk import verdict
from eelgrasswalk.controllers import directory
from eelgrasswalk.document import model
from eelgrasswalk.filters import forward
from eelgrasswalk.filters import front
from eelgrasswalk.filters import transmit
from eelgrasswalk.policy import attempts
from eelgrasswalk.policy import call_rules
from eelgrasswalk.policy import retry_budget
from eelgrasswalk.policy import root_share
from eelgrasswalk.policy import running_calls
from eelgrasswalk.policy.placement import spread
from eelgrasswalk.transport import acceptor
from eelgrasswalk.transport import budget
from eelgrasswalk.transport import dialler
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import link
from eelgrasswalk.transport import message
from tests import explorer
from tests.transport import network

UPSTREAMS = ('a', 'b')
PORTS = {'a': 1, 'b': 2}
DEADLINE_S = 5.0
STEP_S = 0.7
EXHAUSTIVE_STEPS = 4
RANDOM_STEPS = 12
RANDOM_RUNS = 150
RULE = call_rules.RouteRule(
    name='book',
    hostname='h',
    prefix='/',
    shares=(call_rules.Share('back', 1.0),),
    importance=model.Importance.NORMAL,
    idempotent=False,
    open_to_all=False,
    timeout_s=DEADLINE_S,
    objective_s=1.0,
    max_upstreams=2,
)


class Target:
    """Runs calls until it is told to end them."""

    def __init__(self) -> None:
        self.runs = 0
        self.ended = asyncio.Event()

    async def run(self, call: frames.Call) -> dialler.Reply:
        self.runs += 1
        await self.ended.wait()
        response = verdict.Response(200, (), b'done')
        return dialler.Reply(verdict.Answered(response), None)


class System:
    """A caller's node and two upstreams' nodes.

    Args:
        net: The network between them.
    """

    def __init__(self, net: network.Network) -> None:
        self.net = net
        self.targets = {name: Target() for name in UPSTREAMS}
        self.incarnations = dict.fromkeys(UPSTREAMS, 0)
        self.has_faults = False
        for name in UPSTREAMS:
            self.start(name)
        self.links = dialler.Dialler(
            link.Identity('caller', 1),
            secret=b'secret',
            bodies=budget.ByteBudget(1_000_000),
            on_control=unittest.mock.Mock(),
        )
        self.balancer = spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre='x'
        )
        book = directory.Directory(self.balancer)
        book.replace(
            directory.Peer(
                node_id=name,
                host='h',
                service='back',
                data_centre='x',
                state=directory.STATE_READY,
                links=dialler.Address(name, 'h', PORTS[name]),
                slots=4,
            )
            for name in UPSTREAMS
        )
        self.forwarder = forward.Forwarder(
            transmitter=transmit.Transmitter(
                node_id='caller',
                addresses=book,
                links=self.links,
                runner=self.targets['a'],
            ),
            balancer=self.balancer,
            running=running_calls.RunningCalls(),
            shares=root_share.RootShares(root_share.ShareSettings()),
            budget=retry_budget.RetryBudget(
                retry_budget.RetryBounds(0.2, 10.0, 50.0)
            ),
            count_nodes=lambda: 1,
            source=random.Random(1),
        )

    @property
    def runs(self) -> int:
        return sum(target.runs for target in self.targets.values())

    def start(self, name: str) -> None:
        self.incarnations[name] += 1
        node = acceptor.Acceptor(
            link.Identity(name, self.incarnations[name]),
            secret=b'secret',
            runner=self.targets[name],
            bodies=budget.ByteBudget(1_000_000),
            table=attempts.AttemptTable(max_answer_bytes=1_000_000),
            on_control=unittest.mock.Mock(),
        )
        self.net.hosts[PORTS[name]] = node._build_link

    def restart(self) -> None:
        """Kill the node that links lead to, and start it anew."""
        self.has_faults = True
        for pair in self.net.pairs:
            if not pair.near.is_lost:
                pair.cut(keep=False)
        for name in UPSTREAMS:
            self.start(name)

    def cut(self, *, keep: bool) -> None:
        self.has_faults = True
        for pair in self.net.pairs:
            if not pair.near.is_lost:
                pair.cut(keep=keep)

    async def open_links(self) -> None:
        """Dial both upstreams, so that a step is no part of a handshake."""
        for name in UPSTREAMS:
            address = dialler.Address(name, 'h', PORTS[name])
            self.links.send_control(address, 'hello', b'')
        await network.settle()
        await self.net.flow()

    def build_item(self) -> front.IncomingCall:
        now = asyncio.get_running_loop().time()
        return front.IncomingCall(
            request=message.Request('POST', '/', (), b'order'),
            request_id='r',
            arrived_at=now,
            route=RULE,
            service='back',
            account='',
            priority=running_calls.Priority(2, 2),
            deadline=now + DEADLINE_S,
            root_hash=0.5,
        )


async def play(
    loop: network.VirtualLoop,
    choose: explorer.Choose,
    steps: int,
) -> tuple[verdict.Verdict, System]:
    """Take so many steps around one call; return what became of it."""
    net = network.Network()
    loop.create_connection = net.connect  # type: ignore[assignment]
    system = System(net)
    await system.open_links()
    call = asyncio.create_task(system.forwarder.send(system.build_item()))
    await network.settle()
    for _ in range(steps):
        await take_step(loop, system, choose(7))
    for target in system.targets.values():
        target.ended.set()
    while not call.done():
        await net.flow()
        loop.now += STEP_S
        await network.settle()
    # What was held up arrives after the caller has its answer.
    await net.flow()
    return call.result(), system


async def take_step(
    loop: network.VirtualLoop, system: System, choice: int
) -> None:
    """Do one of the things that can happen."""
    steps: tuple[collections.abc.Callable[[], object], ...] = (
        lambda: [pair.deliver_forward() for pair in system.net.pairs],
        lambda: [pair.deliver_back() for pair in system.net.pairs],
        lambda: [item.ended.set() for item in system.targets.values()],
        lambda: setattr(loop, 'now', loop.now + STEP_S),
        lambda: system.cut(keep=True),
        lambda: system.cut(keep=False),
        system.restart,
    )
    steps[choice]()
    await network.settle()


class PathTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, choose: explorer.Choose, steps: int) -> None:
        loop = network.VirtualLoop()
        taken: list[int] = []

        def note(options: int) -> int:
            taken.append(choose(options))
            return taken[-1]

        try:
            outcome, system = loop.run_until_complete(play(loop, note, steps))
        finally:
            loop.close()
        story = f'steps {taken}: {outcome}, {system.runs} runs'
        self.assertLessEqual(system.runs, 1, story)
        if isinstance(outcome, verdict.NotRun):
            self.assertEqual(0, system.runs, story)
        if isinstance(outcome, verdict.Answered):
            self.assertEqual(1, system.runs, story)
        if not system.has_faults and 3 not in taken:
            self.assertIsInstance(outcome, verdict.Answered, story)

    def test_every_order_of_a_few_steps(self) -> None:
        runs = explorer.explore(
            lambda choose: self.check(choose, EXHAUSTIVE_STEPS)
        )
        self.assertEqual(7**EXHAUSTIVE_STEPS, runs)

    def test_longer_orders_at_random(self) -> None:
        source = random.Random(20261204)
        for _ in range(RANDOM_RUNS):
            self.check(source.randrange, RANDOM_STEPS)
