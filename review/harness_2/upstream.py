"""An upstream in a process of its own.

Its answers have no length and end with their connection, as RULES.md allows,
unless it is started with --framed. The process prints its port, then a line
for each long answer that it has begun to send.

usage: upstream.py INSTANCE_ID [--framed] [--work SECONDS]
"""

import argparse
import asyncio
import dataclasses

import stage

PART_BYTES = 20_000
PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """How the upstream answers.

    Args:
        instance_id: Id of its lifetime.
        is_framed: Whether its answers have a length.
        work_s: Seconds that a request takes.
    """

    instance_id: str
    is_framed: bool
    work_s: float


async def main(options: Options) -> None:
    """Serve until the process is ended."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve_one(reader, writer, options)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    print('port', server.sockets[0].getsockname()[1], flush=True)
    async with server:
        await server.serve_forever()


async def _serve_one(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    options: Options,
) -> None:
    head = await reader.readuntil(b'\r\n\r\n')
    line, *fields = head.decode('latin-1').split('\r\n')
    path = line.split()[1]
    headers = {
        name.lower(): value.strip()
        for name, _, value in (field.partition(':') for field in fields)
    }
    request_id = headers.get('attempt-id', '')
    last = path.rpartition('/')[2]
    length = int(last) if last.isdigit() else 0
    answer = [
        'HTTP/1.1 200 OK',
        f'Instance-Id: {options.instance_id}',
        'Connection: close',
    ]
    if path == '/health':
        answer.append('Content-Length: 0')
    elif headers.get('target-instance') != options.instance_id:
        answer[0] = 'HTTP/1.1 421 Misdirected Request'
        answer.append('Content-Length: 0')
        length = 0
    else:
        await asyncio.sleep(options.work_s)
        answer += [
            f'Attempt-Id: {request_id}',
            f'Response-Stamp: stamp-{request_id}',
        ]
        if options.is_framed:
            answer.append(f'Content-Length: {length}')
    writer.write('\r\n'.join([*answer, '', '']).encode())
    if options.is_framed:
        writer.write(stage.build_body(length))
    else:
        await _send_slowly(writer, request_id, length)
    await writer.drain()


async def _send_slowly(
    writer: asyncio.StreamWriter, request_id: str, length: int
) -> None:
    body = stage.build_body(length)
    for start in range(0, length, PART_BYTES):
        writer.write(body[start : start + PART_BYTES])
        await writer.drain()
        if start == 2 * PART_BYTES:
            print('half', request_id, flush=True)
        if length > PART_BYTES:
            await asyncio.sleep(PAUSE_S)


def _parse_options() -> Options:
    parser = argparse.ArgumentParser()
    parser.add_argument('instance_id')
    parser.add_argument('--framed', action='store_true')
    parser.add_argument('--work', type=float, default=0.0)
    found = parser.parse_args()
    return Options(found.instance_id, found.framed, found.work)


if __name__ == '__main__':
    asyncio.run(main(_parse_options()))
