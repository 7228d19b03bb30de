"""Calls for large answers from a process of its own, until it is ended.

In one process with the small calls, its own work on 20 MB answers would be
measured as theirs.
"""

import json
import socket
import sys

import click

CHUNK_BYTES = 1 << 18


def call_forever(host: str, port: int, path: str, key: str) -> None:
    """Ask for an answer again and again, and throw its bytes away."""
    request = (
        f'GET {path} HTTP/1.1\r\nhost: bench\r\n'
        f'x-api-key: {key}\r\nconnection: close\r\n\r\n'
    ).encode()
    buffer = bytearray(CHUNK_BYTES)
    while True:
        with socket.create_connection((host, port)) as connection:
            connection.sendall(request)
            while connection.recv_into(buffer):
                pass


@click.command()
@click.option('--address', required=True)
@click.option('--path', required=True)
@click.option('--key', required=True)
def main(address: str, path: str, key: str) -> None:
    """Call ADDRESS for PATH until the process is ended."""
    host, _, port = address.rpartition(':')
    click.echo(json.dumps({'ready': True}))
    sys.stdout.flush()
    call_forever(host, int(port), path, key)


if __name__ == '__main__':
    main()
