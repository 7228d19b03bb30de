"""The console's program."""

import functools
import pathlib
import sys
import typing

import anyio
import click
import hypercorn.asyncio
import hypercorn.config
import hypercorn.typing

from ..console import application
from ..console import passwords
from ..console import settings as console_settings
from ..operations import connections


@click.group()
def main() -> None:
    """Serve the operators' forms."""


@main.command('serve')
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='The settings file.',
)
def serve(path: pathlib.Path) -> None:
    """Serve the console until interrupted."""
    try:
        settings = console_settings.load_settings(path)
    except console_settings.SettingsError as error:
        raise click.ClickException(str(error)) from error
    app = typing.cast(
        'hypercorn.typing.ASGIFramework',
        application.make_application(settings, connections.HttpConnections()),
    )
    config = hypercorn.config.Config()
    config.bind = [settings.listen]
    config.include_server_header = False
    config.accesslog = None
    config.keep_alive_max_requests = sys.maxsize
    click.echo(f'console on {settings.listen}', err=True)
    anyio.run(functools.partial(hypercorn.asyncio.serve, app, config))


@main.command('hash-password')
@click.password_option(help='The password; asked for when not given.')
def hash_password(password: str) -> None:
    """Print the digest of a password for the settings file."""
    click.echo(passwords.hash_password(password))


if __name__ == '__main__':
    main(prog_name='eelgrasswalk-console')
