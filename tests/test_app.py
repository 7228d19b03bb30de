"""Tests of the application's life cycle, in a process of its own."""

import subprocess
import sys
import unittest

LATE_SIGNAL = """
import os
import signal

from eelgrasswalk import app

def build():
    application = app.Application([])
    return application, application.request_stop

class Late:
    def __del__(self, kill=os.kill, own=os.getpid(), number=signal.SIGTERM):
        kill(own, number)

late = Late()
app.run_application(build)
"""


class StopTest(unittest.TestCase):
    def test_a_second_stop_signal_changes_nothing(self) -> None:
        """A stop asked for once more while the interpreter ends."""
        result = subprocess.run(
            [sys.executable, '-c', LATE_SIGNAL],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(0, result.returncode, result.stderr)
