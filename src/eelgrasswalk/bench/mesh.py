"""Starts nodes and stand-ins as processes, for benches, demo and tests."""

import collections.abc
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import types
import typing

import yaml

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
SECRET = 'a secret for tests and the demo only'


@dataclasses.dataclass(slots=True)
class Process:
    """A process of ours.

    Args:
        popen: The process.
        ready: The JSON line that it printed when it was ready.
    """

    popen: subprocess.Popen[str]
    ready: dict[str, typing.Any]

    def stop(self) -> int:
        """Stop gracefully and return the exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)

    def kill(self) -> None:
        """End at once."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)


class Mesh:
    """A set of processes that ends with its context.

    Args:
        log: Whether the processes' log goes to standard error.
    """

    def __init__(self, *, log: bool = False) -> None:
        self.processes: list[Process] = []
        self._launched: list[subprocess.Popen[str]] = []
        self._log = log
        self._folder = tempfile.TemporaryDirectory()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for process in reversed(self.processes):
            process.kill()
        for popen in self._launched:
            Process(popen, {}).kill()
        self._folder.cleanup()

    def start_standin(self, *arguments: str) -> Process:
        """Start a stand-in."""
        return self.start('eelgrasswalk.cli.standin', *arguments)

    def start_node(self, settings: typing.Mapping[str, typing.Any]) -> Process:
        """Start a node with these settings."""
        return self._await_ready(self._launch_node(settings))

    def write_file(self, name: str, text: str) -> pathlib.Path:
        """Write a file that ends with the mesh."""
        path = pathlib.Path(self._folder.name) / name
        path.write_text(text)
        return path

    def start_nodes(
        self, settings: collections.abc.Sequence[dict[str, typing.Any]]
    ) -> list[Process]:
        """Start nodes side by side and wait until all are ready."""
        launched = [self._launch_node(item) for item in settings]
        return [self._await_ready(popen) for popen in launched]

    def _launch_node(
        self, settings: typing.Mapping[str, typing.Any]
    ) -> subprocess.Popen[str]:
        path = self.write_file(
            f'{settings["node_id"]}.yaml', yaml.safe_dump(dict(settings))
        )
        return self._launch('eelgrasswalk.cli.node', str(path))

    def start(self, module: str, *arguments: str) -> Process:
        """Start a program and wait until it says that it is ready."""
        return self._await_ready(self._launch(module, *arguments))

    def _launch(self, module: str, *arguments: str) -> subprocess.Popen[str]:
        popen = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            stdout=subprocess.PIPE,
            stderr=None if self._log else subprocess.DEVNULL,
            env={**os.environ, 'UV_USE_IO_URING': '0'},
            text=True,
        )
        # Also a process that never says that it is ready ends with the mesh.
        self._launched.append(popen)
        return popen

    def _await_ready(self, popen: subprocess.Popen[str]) -> Process:
        assert popen.stdout is not None
        line = popen.stdout.readline()
        if not line:
            code = popen.wait(START_TIMEOUT_S)
            raise RuntimeError(f'{popen.args!r} ended with {code}')
        process = Process(popen, json.loads(line))
        self.processes.append(process)
        return process


def stop_all(processes: collections.abc.Sequence[Process]) -> list[int]:
    """Stop processes gracefully, side by side; return their exit codes."""
    for process in processes:
        if process.popen.poll() is None:
            process.popen.send_signal(signal.SIGTERM)
    return [process.popen.wait(STOP_TIMEOUT_S) for process in processes]


def find_free_ports(count: int) -> list[int]:
    """Return TCP ports that are free now, all different."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(('127.0.0.1', 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
