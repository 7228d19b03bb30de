"""Starts nodes and stand-ins as processes, for benches, demo and tests."""

import collections.abc
import dataclasses
import itertools
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

from ..platform import process_settings

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
FIRST_PORT = 10_240
LAST_PORT = 32_000
PORTS_APART = 1009
PORTS_PER_SIDECAR = 5
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
        return self._finish()

    def kill(self) -> None:
        """End at once."""
        if self.popen.poll() is None:
            self.popen.kill()
        self._finish()

    def _finish(self) -> int:
        code = self.popen.wait(STOP_TIMEOUT_S)
        if self.popen.stdout is not None:
            self.popen.stdout.close()
        return code


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
    """Return ports that are free now, for TCP and UDP, all different.

    They are below the range from which the system takes the ports of
    outgoing connections, so that none is taken before it is used.
    """
    found: list[int] = []
    while len(found) < count:
        port = next(_CANDIDATES)
        if _is_free(port):
            found.append(port)
    return found


def list_candidates(pid: int) -> collections.abc.Iterator[int]:
    """Return the ports that a process tries, in order.

    Programs that run side by side begin far apart: a port that one of them
    leaves free while it restarts a node must not be taken by another.

    Args:
        pid: Id of the process.
    """
    span = LAST_PORT - FIRST_PORT
    for step in itertools.count(pid * PORTS_APART):
        yield FIRST_PORT + step % span


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


_CANDIDATES = list_candidates(os.getpid())


def start_sidecar(
    settings: pathlib.Path, *, log: pathlib.Path
) -> subprocess.Popen[bytes]:
    """Start a node on the platform.

    Args:
        settings: Path of its settings.
        log: Path that its standard output is added to.
    """
    environment = {
        **os.environ,
        process_settings.FILE_VARIABLE: str(settings),
    }
    with log.open('ab') as output:
        return subprocess.Popen(
            [sys.executable, '-m', 'eelgrasswalk.cli.sidecar'],
            env=environment,
            stdout=output,
        )


def find_sidecar_ports() -> list[int]:
    """Return free ports for a node on the platform.

    Returns:
        Callers, readiness, check-ins, and two side by side for links and
        metrics.
    """
    while True:
        ports = find_free_ports(PORTS_PER_SIDECAR)
        if ports[-1] == ports[-2] + 1:
            return ports
