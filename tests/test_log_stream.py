"""Tests of the stream that never makes its writer wait."""

import os
import unittest

from eelgrasswalk import log_stream


class LogStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        self.stream = log_stream.LogStream(self.writer)

    def test_lines_arrive(self) -> None:
        self.addCleanup(os.close, self.reader)
        self.stream.write('one\n')
        self.stream.flush()
        self.assertEqual(b'one\n', os.read(self.reader, 100))

    def test_reader_that_stops_bounds_what_is_held(self) -> None:
        self.addCleanup(os.close, self.reader)
        line = 'x' * 1023 + '\n'
        for _ in range(2000):
            self.stream.write(line)
            self.stream.flush()
        self.assertGreater(self.stream.dropped, 1000)

    def test_lines_go_on_when_the_reader_goes_on(self) -> None:
        self.addCleanup(os.close, self.reader)
        line = 'x' * 1023 + '\n'
        for _ in range(300):
            self.stream.write(line)
            self.stream.flush()
        read = 0
        while read < 300 * 1024 and self.stream.dropped == 0:
            read += len(os.read(self.reader, 65_536))
            self.stream.flush()
        self.assertEqual(300 * 1024, read + 1024 * self.stream.dropped)

    def test_reader_that_is_gone_is_no_error(self) -> None:
        os.close(self.reader)
        self.stream.write('one\n')
        self.stream.flush()
        self.assertEqual(1, self.stream.dropped)
