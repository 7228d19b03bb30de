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


# The same, with a thread that takes the process's signals as well, as those
# of an event loop's library or of an exporter of metrics do.
LATE_SIGNAL_BESIDE_THREAD = (
    """
import threading
import time

threading.Thread(target=time.sleep, args=(60,), daemon=True).start()
"""
    + LATE_SIGNAL
)


class StopTest(unittest.TestCase):
    def test_a_second_stop_signal_changes_nothing(self) -> None:
        """A stop asked for once more while the interpreter ends."""
        for program in (LATE_SIGNAL, LATE_SIGNAL_BESIDE_THREAD):
            result = subprocess.run(
                [sys.executable, '-c', program],
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )
            self.assertEqual(0, result.returncode, result.stderr)

    def test_what_was_written_is_there_at_the_end(self) -> None:
        program = LATE_SIGNAL.replace(
            'app.run_application', "print('last words')\napp.run_application"
        )
        result = subprocess.run(
            [sys.executable, '-c', program],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual('last words\n', result.stdout)
