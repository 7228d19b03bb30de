"""The operators' command line."""

import click
import click.shell_completion

from ..operations import connections
from . import evacuations
from . import explaining
from . import files
from . import keys
from . import nodes
from . import placement
from . import progress
from . import quarantine
from . import terminal
from . import versions

PROGRAM = 'eelgrasswalk'


@click.group(cls=terminal.Group)
@click.option(
    '--platform',
    envvar='EELGRASSWALK_PLATFORM',
    default='',
    help="The platform's URL.",
)
@click.option(
    '--node',
    envvar='EELGRASSWALK_NODE',
    default='',
    help="Any node's administration address, IP:PORT.",
)
@click.option(
    '--operator',
    envvar='EELGRASSWALK_OPERATOR',
    default='',
    help='Your name in the audit trail; your login name by default.',
)
@click.option(
    '--output',
    type=click.Choice(['text', 'json']),
    default='text',
    help='Form of the result on standard output.',
)
@click.version_option(package_name='eelgrasswalk')
@click.pass_context
def main(
    context: click.Context,
    platform: str,
    node: str,
    operator: str,
    output: str,
) -> None:
    """Describe, publish and watch a mesh.

    Results go to standard output, progress and messages to standard error.
    """
    opened = context.obj or connections.HttpConnections()
    context.obj = terminal.Session(
        connections=opened,
        platform=platform,
        node=node,
        operator=operator,
        output=terminal.Output(output),
    )


@main.command('completion')
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
def complete_shell(shell: str) -> None:
    """Print the script that completes commands in SHELL."""
    found = click.shell_completion.get_completion_class(shell)
    if found is None:
        raise terminal.Failure(
            terminal.ExitCode.USAGE, f'{shell} is not supported.'
        )
    variable = f'_{PROGRAM.upper()}_COMPLETE'
    click.echo(found(main, {}, PROGRAM, variable).source())


for _module in (
    files,
    versions,
    keys,
    progress,
    nodes,
    explaining,
    placement,
    quarantine,
    evacuations,
):
    for _command in _module.COMMANDS:
        main.add_command(_command)


if __name__ == '__main__':
    main(prog_name=PROGRAM)
