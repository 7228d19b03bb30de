"""Settings of a node beside a target."""

import dataclasses

from .. import address


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the operators hold the whole system to.

    Args:
        drain_s: Seconds after an acknowledged drain in which calls may
            still reach the target.
        grace_s: Seconds between a planned stop's signal and the kill.
        apply_s: Seconds within which a configuration is in force.
        withdraw_s: Seconds within which a withdrawn key stops working.
        retry_ratio: Repeats of all nodes, per call of a service.
        retry_window_s: Seconds over which repeats are counted.
        retry_slack: Repeats beyond the ratio in a window, over all nodes.
        quota_window_s: Seconds over which accounts are measured.
        quota_overage: Share of its rate that an account may get beyond it.
        quota_slack: Calls beyond that in a window.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    apply_s: float = 2.0
    withdraw_s: float = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 20.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarSettings:
    """All settings of a node beside a target.

    Args:
        node_id: Unique id of the node.
        ip: The host's address.
        data_centre: Name of its data centre.
        service: Service of its target.
        target: Where the target accepts HTTP.
        callers: Where callers and the target send their calls.
        readiness: Where the platform asks whether the node is ready.
        check_ins: Where the target tells its state.
        links: Where other nodes reach this one.
        admin: Where status and metrics are served.
        store: The platform's store.
        memory_bytes: Memory that the process may use.
        bounds: What the operators hold the whole system to.
    """

    node_id: str
    ip: str
    data_centre: str
    service: str
    target: address.Address
    callers: address.Address
    readiness: address.Address
    check_ins: address.Address
    links: address.Address
    admin: address.Address
    store: address.Address
    memory_bytes: int
    bounds: Bounds
