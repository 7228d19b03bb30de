"""Rows that another writer has left, read by real node processes."""

import json
import typing
import unittest

from tests.integration import sidecars

NESTED = b'[' * 50_000
NESTED_ENTRY = b'{"state":' + b'{"a":' * 50_000


def build_entry(**changes: typing.Any) -> bytes:
    fields = {
        'node_id': 'odd',
        'incarnation': 1,
        'revision': 1,
        'service': 'back',
        'data_centre': 'zone-1',
        'host': '127.0.0.1',
        'port': 1,
        'state': 'ready',
        'target_id': 'i-odd',
        'slots': 8,
    }
    return json.dumps(fields | changes).encode()


ENTRIES = {
    'nested-list': NESTED,
    'nested-entry': NESTED_ENTRY,
    'number': b'7',
    'no-json': b'\xff\xfe',
    'large-port': build_entry(node_id='large-port', port=70_000),
    'huge-port': build_entry(node_id='huge-port', port=10**40),
    'text-port': build_entry(node_id='text-port', port='80'),
    'infinite': b'{"incarnation":1e999,"state":"ready"}',
    'infinite-slots': build_entry(node_id='infinite-slots').replace(
        b'"slots": 8', b'"slots": 1e999'
    ),
    'text-incarnation': build_entry(
        node_id='text-incarnation', incarnation='7'
    ),
    'list-service': build_entry(node_id='list-service', service=['back']),
    'name-host': build_entry(node_id='name-host', host='no such host'),
    'number-target': build_entry(node_id='number-target', target_id=7),
}


class OddEntriesTest(sidecars.SidecarTestCase):
    services = ('front', 'back', 'back')

    async def test_nodes_go_on_beside_rows_of_another_writer(self) -> None:
        """Nodes stopped following the table, or called odd targets."""
        late = self.nodes.pop()
        await self.start_all()
        for key, value in ENTRIES.items():
            self.store.put('nodes', key, value)
        for number, value in enumerate((NESTED, NESTED_ENTRY, b'{}', b'7')):
            self.store.put('quarantine', f'service-{number}', value)
            self.store.put('quarantine', 'back', value)
        # A second version of a row reaches those that hold the first.
        for key, value in ENTRIES.items():
            self.store.put('nodes', key, value)
        self.nodes.append(late)
        late.start()
        await self.wait_for(lambda: self.check_in(late))
        for node in self.nodes:
            await self.wait_for(lambda node=node: self.knows_all(node))
        config = sidecars.build_config(2, ['back', 'front', 'new'])
        self.store.put('op', 'config', config)
        for node in self.nodes:
            await self.wait_for(lambda node=node: self.has_route(node))
            for _ in range(10):
                self.assertTrue(await self.is_served(node, 'back'))
            assert node.process is not None
            self.assertIsNone(node.process.poll())

    async def is_rejected(self, number: int) -> bool:
        """Return whether a node has rejected so many configurations."""
        return any(
            sum(line['event'] == 3002 for line in node.read_log()) >= number
            for node in self.nodes
        )

    async def has_route(self, node: sidecars.Node) -> bool:
        """Return whether a node has the second configuration in force."""
        answer = await self.call(node, '/new/safe/')
        return answer is not None and answer.status == 503

    async def test_node_starts_beside_rows_of_another_writer(self) -> None:
        for key, value in ENTRIES.items():
            self.store.put('nodes', key, value)
        self.store.put('quarantine', 'back', NESTED)
        await self.start_all()

    async def test_odd_check_ins_name_no_target(self) -> None:
        await self.start_all()
        node = self.nodes[1]
        for body in (
            NESTED,
            NESTED_ENTRY,
            b'{"state":"ready","service":"back","slots":8,"sequence":1e999}',
            b'{"state":[],"service":"back","slots":8,"sequence":9}',
        ):
            self.assertEqual(400, await self.send_check_in(node, body))
        self.assertTrue(await self.is_served(self.nodes[0], 'back'))

    async def test_odd_configuration_changes_nothing(self) -> None:
        """The store takes valid ones only, but a reader must not end."""
        await self.start_all()
        odd = (
            NESTED,
            b'{"version":1e999,"listeners":[]}',
            sidecars.build_config(9, ['back']).replace(b'3000', b'1e999'),
        )
        for number, value in enumerate(odd, 1):
            self.store.put('op', 'config', value)
            await self.wait_for(lambda number=number: self.is_rejected(number))
        config = sidecars.build_config(10, ['back', 'front', 'new'])
        self.store.put('op', 'config', config)
        for node in self.nodes:
            await self.wait_for(lambda node=node: self.has_route(node))


if __name__ == '__main__':
    unittest.main()
