"""Tests of the application's life cycle, in a process of its own."""

import http.client
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


# Answers one request, and is asked to stop while it does.
LAST_ANSWER = """
from eelgrasswalk import app
from eelgrasswalk import verdict
from eelgrasswalk.transport import http_server

class Listener:
    async def start(self):
        self.server = http_server.HttpServer(
            self.answer, limits=http_server.Limits()
        )
        print((await self.server.start('127.0.0.1', 0))[1], flush=True)

    async def answer(self, request):
        self.application.request_stop()
        return verdict.Response(200, (), b'x' * 50_000)

    async def stop(self):
        await self.server.drain()

def build():
    listener = Listener()
    listener.application = app.Application([listener])
    return listener.application, lambda: None

app.run_application(build)
"""


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

    def test_last_answer_is_sent_before_the_process_ends(self) -> None:
        process = subprocess.Popen(
            [sys.executable, '-c', LAST_ANSWER],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        assert process.stdout is not None
        self.addCleanup(process.stdout.close)
        port = int(process.stdout.readline())
        connection = http.client.HTTPConnection('127.0.0.1', port, timeout=60)
        self.addCleanup(connection.close)
        connection.request('GET', '/')
        self.assertEqual(50_000, len(connection.getresponse().read()))
        self.assertEqual(0, process.wait(60))
