"""Tests of the audit chain."""

import dataclasses
import unittest

from eelgrasswalk.controllers import audit

AUTHOR = audit.Author('ana', '127.0.0.1', 'test')


def seal_chain(length: int) -> list[audit.Entry]:
    entries: list[audit.Entry] = []
    previous = audit.FIRST_PREVIOUS
    for version in range(1, length + 1):
        entry = audit.seal_entry(
            version=version,
            time='2026-01-01T00:00:00+00:00',
            author=AUTHOR,
            changes=(f'account erie: rate {version} -> {version + 1}/s',),
            document=b'%d' % version,
            previous=previous,
        )
        entries.append(entry)
        previous = entry.digest
    return entries


class AuditTest(unittest.TestCase):
    def test_chain_verifies(self) -> None:
        entries = seal_chain(4)
        documents = {entry: b'%d' % entry for entry in range(1, 5)}
        self.assertEqual(
            audit.verify_chain(entries, documents),
            audit.Verified(4, entries[-1].digest),
        )

    def test_entry_survives_encoding(self) -> None:
        entry = seal_chain(1)[0]
        self.assertEqual(audit.decode_entry(audit.encode_entry(entry)), entry)

    def test_bytes_that_are_no_entry_are_refused(self) -> None:
        for raw in (b'', b'\xff', b'\xa0', b'\x01'):
            with self.assertRaises(audit.MalformedError):
                audit.decode_entry(raw)

    def test_altered_field_breaks_the_chain(self) -> None:
        for field in ('time', 'note', 'document_digest'):
            entries = seal_chain(4)
            entries[1] = dataclasses.replace(entries[1], **{field: '00'})
            broken = audit.verify_chain(entries)
            assert isinstance(broken, audit.Broken)
            self.assertEqual(broken.version, 2)

    def test_resealed_entry_breaks_the_next(self) -> None:
        entries = seal_chain(4)
        forged = dataclasses.replace(entries[1], note='forged')
        entries[1] = dataclasses.replace(
            forged, digest=audit.compute_digest(forged)
        )
        broken = audit.verify_chain(entries)
        assert isinstance(broken, audit.Broken)
        self.assertEqual(broken.version, 3)

    def test_missing_entry_breaks_the_chain(self) -> None:
        entries = seal_chain(4)
        del entries[1]
        self.assertIsInstance(audit.verify_chain(entries), audit.Broken)

    def test_altered_document_is_found(self) -> None:
        entries = seal_chain(2)
        broken = audit.verify_chain(entries, {1: b'1', 2: b'x'})
        assert isinstance(broken, audit.Broken)
        self.assertEqual(broken.version, 2)
