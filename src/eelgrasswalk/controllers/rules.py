"""Keeps the rules in force up to date with the operator's configuration."""

import dataclasses
import typing

from .. import events
from .. import ports
from ..policy import call_rules
from ..policy import freshness
from ..policy.placement import evacuation

Apply: typing.TypeAlias = typing.Callable[[call_rules.RuleTable], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Certainty:
    """Up to when a version was certainly the newest.

    Args:
        version: The version.
        store_s: The store's clock then, which is the same for all nodes.
    """

    version: int
    store_s: float


def _ignore(change: evacuation.Change) -> None:
    """Ignore a change of the evacuated data centres."""


class RuleKeeper:
    """Puts each newer version in force, and never goes back.

    Evacuations have no versions of their own: the rows that the store shows
    are in force.

    Args:
        source: Decodes the operator's configuration.
        fresh: Is told when the version in force was the newest.
        apply: Puts a version in force.

    Attributes:
        table: The rules in force; None before the first version.
        certainty: The newest certainty about them; None before the first.
        evacuated: The evacuated data centres.
        on_evacuated: Called when they have changed.
    """

    def __init__(
        self,
        source: ports.RuleSource,
        fresh: freshness.Freshness,
        apply: Apply,
    ) -> None:
        self.table: call_rules.RuleTable | None = None
        self.certainty: Certainty | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.on_evacuated: typing.Callable[[evacuation.Change], None] = _ignore
        self._source = source
        self._fresh = fresh
        self._apply = apply
        # Whether the store shows other rules than those in force.
        self._differs = False
        self._newest_version = 0

    def get_table(self) -> call_rules.RuleTable | None:
        """Return the rules in force, or None before the first version."""
        return self.table

    def take_all(self, rows: ports.Rows, true_at: float) -> None:
        """Take everything that the table holds."""
        self._take_evacuations(rows, is_complete=True)
        self._take(rows, true_at)

    def take_changes(self, rows: ports.Rows, true_at: float) -> None:
        """Take what has changed."""
        if rows.rows:
            self._take_evacuations(rows, is_complete=False)
        self._take(rows, true_at)

    def _take_evacuations(
        self, rows: ports.Rows, *, is_complete: bool
    ) -> None:
        """Take evacuations, also beside a configuration that is unreadable."""
        change = evacuation.find_change(
            self.evacuated,
            self._source.decode_evacuations(rows.rows),
            is_complete=is_complete,
        )
        if change is None:
            return
        self.evacuated = change.evacuated
        events.log(
            events.EVACUATION_CHANGED,
            evacuated=sorted(change.evacuated),
            begun=sorted(change.begun),
            lifted=sorted(change.lifted),
            version=rows.version,
            store_s=rows.store_s,
        )
        self.on_evacuated(change)

    def _take(self, rows: ports.Rows, true_at: float) -> None:
        try:
            rules = self._source.decode(rows.rows)
        except ValueError as error:
            # Without a confirmation, keys stop to count after a while.
            self._differs = True
            events.log(events.CONFIGURATION_REJECTED, problems=str(error))
            return
        if rules is not None:
            self._put_in_force(rules)
        self.confirm(rows.store_s, true_at)

    def note_newer(self, version: int) -> None:
        """Note a version that another node has in force."""
        self._newest_version = max(self._newest_version, version)

    def confirm(self, store_s: float, true_at: float) -> None:
        """Note that the version in force was the newest.

        It has no effect while a newer version is known of, or while the store
        shows other rules: a restored store may have lost the newest ones.

        Args:
            store_s: When, by the store's clock; 0 when it told none.
            true_at: The same on this node's clock, or earlier.
        """
        version = 0 if self.table is None else self.table.version
        if self._differs or version < self._newest_version:
            return
        self._fresh.confirm(true_at)
        if self.table is None or store_s <= 0.0:
            return
        known = self.certainty
        if (
            known is None
            or known.version < self.table.version
            or known.store_s < store_s
        ):
            self.certainty = Certainty(self.table.version, store_s)

    def _put_in_force(self, rules: call_rules.Rules) -> None:
        self._differs = False
        if self.table is not None and rules.version <= self.table.version:
            if rules.version < self.table.version:
                self._differs = True
                events.log(
                    events.RULES_BEHIND,
                    version=self.table.version,
                    shown=rules.version,
                )
            return
        self.table = call_rules.RuleTable(rules)
        self._apply(self.table)
        events.log(events.CONFIGURATION_APPLIED, version=rules.version)
