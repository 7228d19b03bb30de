"""eelgrasswalk-bench: load, experiments and the demo."""

import importlib

import click

# Modules of ..bench that have a click command named `command`.
COMMANDS = (
    'control',
    'demo',
    'fleet',
    'graph',
    'latency',
    'chaos',
    'cost',
    'overload',
    'quota',
    'replay',
    'soak',
)


class LazyGroup(click.Group):
    """Imports an experiment only when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the experiments."""
        return sorted(COMMANDS)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Return one experiment."""
        if cmd_name not in COMMANDS:
            return None
        module = importlib.import_module(f'..bench.{cmd_name}', __package__)
        command = module.command
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup)
def main() -> None:
    """Run an experiment; with --json its last line is one JSON object."""


if __name__ == '__main__':
    main()
