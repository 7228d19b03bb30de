"""A baseline for `latency`: forwarding by hypercorn and httpx alone."""

import asyncio
import json
import sys

import click
import httpx
import hypercorn.asyncio
import hypercorn.config
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing
import uvloop

# The default closes a connection after 1,000 requests, seen as a cut.
NO_REQUEST_LIMIT = 1 << 62


def build_application(target: str) -> starlette.applications.Starlette:
    """Return an application that forwards every GET to a target."""
    client = httpx.AsyncClient(base_url=f'http://{target}')

    async def forward(
        request: starlette.requests.Request,
    ) -> starlette.responses.Response:
        answer = await client.get(request.url.path)
        return starlette.responses.Response(answer.content)

    return starlette.applications.Starlette(
        routes=[starlette.routing.Route('/{path:path}', forward)]
    )


async def serve(target: str, port: int) -> None:
    """Forward from a port until the process is ended."""
    config = hypercorn.config.Config()
    config.bind = [f'127.0.0.1:{port}']
    config.keep_alive_max_requests = NO_REQUEST_LIMIT
    config.accesslog = None
    application = build_application(target)
    serving = asyncio.create_task(
        hypercorn.asyncio.serve(application, config)  # type: ignore[arg-type]
    )
    await _wait_until_listening(port)
    click.echo(json.dumps({'ready': True, 'address': f'127.0.0.1:{port}'}))
    sys.stdout.flush()
    await serving


async def _wait_until_listening(port: int) -> None:
    while True:
        try:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return


@click.command()
@click.option('--target', required=True)
@click.option('--port', type=int, required=True)
def main(target: str, port: int) -> None:
    """Forward every GET to TARGET."""
    uvloop.run(serve(target, port))


if __name__ == '__main__':
    main()
