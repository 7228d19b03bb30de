"""eelgrasswalk-sidecar: the node beside each target on the platform."""

import os
import sys

from .. import allocator
from .. import app
from .. import collector
from .. import events
from .. import log_stream
from .. import request_log
from ..platform import check_ins
from ..platform import dialect
from ..platform import operator_config
from ..platform import process_settings
from ..platform import rows
from ..policy import log_budget
from ..sidecar import node
from ..sidecar import settings
from ..sidecar import wiring_control

EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Run a node with the settings that the platform gives it."""
    # The event loop's library reads this when it is loaded.
    os.environ['UV_USE_IO_URING'] = '0'
    try:
        config = process_settings.load_settings()
    except process_settings.BadSettingsError as error:
        events.configure_logging(
            'info',
            node_id='',
            stream=log_stream.LogStream(sys.stdout.fileno()),
        )
        events.log(events.SETTINGS_REJECTED, detail=str(error))
        sys.exit(EXIT_BAD_SETTINGS)
    budget = log_budget.LogBudget(log_budget.LogBounds())
    events.configure_logging(
        'info',
        node_id=config.node_id,
        stream=log_stream.LogStream(sys.stdout.fileno()),
        budget=budget,
    )
    allocator.map_large_blocks()
    collector.tune_collector()
    app.run_application(
        lambda: (build_application(config, budget), lambda: None)
    )


def build_application(
    config: settings.SidecarSettings, budget: log_budget.LogBudget
) -> app.Application:
    """Return the application of one node."""
    platform = wiring_control.Platform(
        store=rows.PlatformRows(config.store.host, config.store.port),
        rule_source=operator_config.OperatorRules(),
        check_in_format=check_ins.PlatformCheckIns(),
        dialect=dialect.PlatformDialect(),
    )
    sidecar = node.Sidecar(config, platform, request_log.RequestLog(budget))
    return app.Application(
        [sidecar], on_reload=lambda: reload_settings(sidecar)
    )


def reload_settings(sidecar: node.Sidecar) -> None:
    """Read the settings again, and tell which of them are in force now."""
    try:
        found = process_settings.load_settings()
    except process_settings.BadSettingsError as error:
        events.log(events.SETTINGS_REJECTED, detail=str(error))
        return
    reloaded = sidecar.reload(found)
    events.log(
        events.SETTINGS_CHANGED,
        applied=reloaded.applied,
        counts_after_restart=reloaded.restart_required,
    )


if __name__ == '__main__':
    main()
