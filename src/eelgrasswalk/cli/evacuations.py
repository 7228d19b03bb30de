"""The command on evacuated data centres."""

import click

from .. import ports
from ..operations import evacuations
from ..platform import operator_config
from . import stores
from . import terminal


@click.command('evacuations')
@click.pass_obj
@terminal.run_async
async def list_evacuations(session: terminal.Session) -> None:
    """List the data centres to which no calls are sent.

    --platform is the address of the platform's store, IP:PORT.
    """
    async with stores.open_store(session) as store:
        found = await evacuations.list_evacuated(
            store, operator_config.OperatorRules()
        )
    if isinstance(found, ports.Unavailable):
        raise terminal.Failure(
            terminal.ExitCode.PLATFORM_UNAVAILABLE,
            f'The store did not answer: {found.detail}. Try again.',
        )
    session.emit(
        {'evacuated': list(found)},
        list(found) or ['No data centre is evacuated.'],
    )


COMMANDS = (list_evacuations,)
