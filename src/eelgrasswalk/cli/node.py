"""eelgrasswalk-node: the process beside each target."""

import dataclasses
import json
import os
import pathlib
import sys
import typing

import click

from .. import allocator
from .. import app
from .. import collector
from .. import events
from .. import node
from .. import settings
from .. import wiring

EXIT_BAD_SETTINGS = 2


@click.command()
@click.argument(
    'path', type=click.Path(path_type=pathlib.Path, dir_okay=False)
)
def main(path: pathlib.Path) -> None:
    """Run a node with the settings in PATH.

    Prints one JSON line with the addresses once it listens. SIGTERM stops
    it gracefully.
    """
    # The event loop's library reads this when it is loaded.
    os.environ['UV_USE_IO_URING'] = '0'
    try:
        config = settings.load_settings(path)
    except settings.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    events.configure_logging(config.log_level, node_id=config.node_id)

    allocator.map_large_blocks()
    collector.tune_collector()

    def build() -> tuple[app.Application, typing.Callable[[], None]]:
        application, built = wiring.build_application(config)
        return application, lambda: announce(built)

    app.run_application(build)


def announce(started: node.Node) -> None:
    """Print where the node listens."""
    addresses = started.addresses
    assert addresses is not None
    line = {
        'ready': True,
        'node_id': started.config.node_id,
        **dataclasses.asdict(addresses),
    }
    click.echo(json.dumps(line))
    sys.stdout.flush()


if __name__ == '__main__':
    main()
