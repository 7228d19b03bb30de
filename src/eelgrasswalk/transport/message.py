"""HTTP requests as the node handles them, and the headers it owns."""

import typing

import msgspec

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]

OWN_PREFIX = b'eelgrasswalk-'
CONTEXT_HEADER = b'eelgrasswalk-context'
VERDICT_HEADER = b'eelgrasswalk-verdict'
DEADLINE_HEADER = b'eelgrasswalk-deadline'
IDEMPOTENCY_HEADER = b'idempotency-key'

_OWN_LENGTH = len(OWN_PREFIX)

MIN_STATUS = 100
MAX_STATUS = 599

# Sizes of chunks, for each byte of a body; small chunks take a few.
FRAMING_PER_BODY_BYTE = 8
# Parts of a body that may be small, and the mean length of those beyond.
MAX_SMALL_PARTS = 65_536
MIN_PART_BYTES = 64

_SAFE_METHODS = frozenset(('GET', 'HEAD'))

HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    }
)


class Request(msgspec.Struct, frozen=True, array_like=True, weakref=True):
    """A whole HTTP request.

    Args:
        method: Method in upper case.
        target: Path with query, as received.
        headers: Name and value pairs, names in lower case.
        body: The whole body.
        received_at: Loop time at which a listener had read it whole; None
            for a request that is sent, as other hosts have other clocks.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


def is_valid_status(status: int) -> bool:
    """Return whether a number is the status of an HTTP answer."""
    return MIN_STATUS <= status <= MAX_STATUS


def build_status_line(status: int) -> bytes:
    """Return the line of a status that has no phrase; 502 if it is invalid."""
    if not is_valid_status(status):
        status = 502
    return b'HTTP/1.1 %d Unknown\r\n' % status


def has_safe_method(request: Request) -> bool:
    """Tell whether a request only reads, by its method."""
    return request.method in _SAFE_METHODS


def describe_excess(
    received: int, body_length: int, *, parts: int, head_bytes: int
) -> str:
    """Return what is too much of a message; empty if nothing is.

    Args:
        received: Bytes of it so far.
        body_length: Bytes of its body among them.
        parts: Parts of its body so far.
        head_bytes: Bytes beside the body that it may have in any case.
    """
    framing = received - body_length
    if framing > head_bytes + body_length * FRAMING_PER_BODY_BYTE:
        return f'{received} bytes with a body of {body_length}'
    if parts > MAX_SMALL_PARTS + body_length // MIN_PART_BYTES:
        return f'{body_length} bytes in {parts} parts'
    return ''


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def strip_headers(headers: Headers, *, remove: frozenset[bytes]) -> Headers:
    """Drop hop-by-hop headers, the system's own, and the named ones.

    Headers that the Connection header lists are hop-by-hop as well.
    """
    connection = find_header(headers, b'connection')
    if connection is not None:
        remove = remove | _list_connection_options(connection)
    # Slices and a list take no call for each header.
    return tuple(
        [
            pair
            for pair in headers
            if pair[0] not in HOP_BY_HOP
            and pair[0] not in remove
            and pair[0][:_OWN_LENGTH] != OWN_PREFIX
        ]
    )


def _list_connection_options(value: bytes) -> frozenset[bytes]:
    return frozenset(
        option.strip().lower() for option in value.split(b',')
    ) - {b'close', b'keep-alive'}
