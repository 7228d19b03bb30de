"""Starts upstreams as processes of their own."""

import asyncio
import os
import signal
import subprocess
import sys
import typing

import stage


class ProcessUpstream(stage.Upstream):
    """An upstream in a process of its own; this part only checks in.

    Attributes:
        arguments: Further arguments of the process.
        process: The process; None before the start.
    """

    arguments: typing.ClassVar[tuple[str, ...]] = ()
    process: subprocess.Popen[str] | None = None

    async def start(self, port: int = 0) -> int:
        """Start the process and return its port."""
        script = stage.ROOT / 'review' / 'harness_2' / 'upstream.py'
        self.process = subprocess.Popen(
            [sys.executable, str(script), self.target_id, *self.arguments],
            stdout=subprocess.PIPE,
            text=True,
            env=dict(os.environ),
        )
        line = await self.read_line()
        self.port = int(line.split()[1])
        return self.port

    async def read_line(self) -> str:
        """Return the next line that the process prints."""
        assert self.process is not None and self.process.stdout is not None
        return await asyncio.to_thread(self.process.stdout.readline)

    def end(self) -> None:
        """End the process at once, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def stop(self) -> None:
        """End the process."""
        self.end()
