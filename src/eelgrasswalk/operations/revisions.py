"""Accepted versions of the document, and how a new one is published."""

import dataclasses
import typing

from ..controllers import audit
from ..document import difference
from ..document import model


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """One accepted version.

    Args:
        version: Its number, from 1.
        document: The document.
        entry: Its audit entry.
    """

    version: int
    document: model.Document
    entry: audit.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The revision that was read."""

    revision: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """There is no such version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not answer; nothing was changed."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Damaged:
    """What the store holds cannot be right.

    Args:
        detail: What is wrong with it.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """The document is accepted.

    Args:
        entry: Its audit entry.
    """

    entry: audit.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another operator was first; nothing was changed.

    Args:
        head: The version that is accepted now; None where it could not be
            read.
    """

    head: Revision | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost and the effect could not be found out."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Audit entries in order of their versions."""

    entries: tuple[audit.Entry, ...]


ReadOutcome: typing.TypeAlias = Found | Missing | Unavailable | Damaged
PublishOutcome: typing.TypeAlias = (
    Published | Conflict | Unavailable | Unknown | Damaged
)
EntriesOutcome: typing.TypeAlias = Entries | Unavailable | Damaged


class Revisions(typing.Protocol):
    """The accepted versions in the platform's store."""

    async def read_head(self) -> ReadOutcome:
        """Read the version that is accepted now."""
        ...

    async def read_version(self, version: int) -> ReadOutcome:
        """Read an accepted version."""
        ...

    async def list_entries(self) -> EntriesOutcome:
        """Read the audit entries of all versions."""
        ...

    async def publish(
        self,
        document: model.Document,
        *,
        base: Revision | None,
        author: audit.Author,
        note: str = '',
    ) -> PublishOutcome:
        """Publish a document if the base is still the accepted version.

        Args:
            document: The new document.
            base: The revision that it was made from; None for the first.
            author: Who makes the change, and from where.
            note: The operator's reason.
        """
        ...


def make_entry(
    document: model.Document,
    content: bytes,
    *,
    base: Revision | None,
    author: audit.Author,
    time: str,
    note: str = '',
    token: str = '',
) -> audit.Entry:
    """Return the audit entry of a change.

    Args:
        document: The new document.
        content: Its bytes as they are stored.
        base: The revision that it was made from; None for the first.
        author: Who makes the change, and from where.
        time: When, in UTC after ISO 8601.
        note: The operator's reason.
        token: Random text, unique to this write.
    """
    old = base.document if base else None
    changes = difference.compare_documents(old, document)
    return audit.seal_entry(
        version=base.version + 1 if base else 1,
        time=time,
        author=author,
        changes=difference.describe_changes(changes),
        document=content,
        previous=base.entry.digest if base else audit.FIRST_PREVIOUS,
        note=note,
        token=token,
    )
