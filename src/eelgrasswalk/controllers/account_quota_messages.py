"""Messages between nodes about the tokens of client accounts."""

import typing

import msgspec

from ..policy import token_bucket
from ..transport import frames

TOPIC_ASK = 'quota-ask'
TOPIC_GRANT = 'quota-grant'


class Request(msgspec.Struct, frozen=True, array_like=True):
    """A request for tokens, with the confirmation of the rules at its sender.

    Args:
        account: Name of the account.
        number: Number of the request among those of its node.
        wanted: Tokens wanted.
        version: Version of the rules in force at the sender.
        store_s: Time of the store's clock at which it was the newest.
        by_importance: The same tokens by importance, the highest first;
            empty if not known.
    """

    account: str
    number: int
    wanted: frames.Count
    version: int
    store_s: float
    by_importance: typing.Annotated[
        tuple[frames.Count, ...], msgspec.Meta(max_length=token_bucket.LEVELS)
    ] = ()

    def list_wanted(self) -> tuple[int, ...]:
        """Return the tokens wanted by importance, the highest first."""
        if sum(self.by_importance) == self.wanted:
            return self.by_importance
        # A node of an earlier release does not tell the importance.
        return (0,) * (token_bucket.LEVELS - 1) + (self.wanted,)


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """A grant; a negative number of tokens says that the node is no owner."""

    account: str
    number: int
    tokens: int
    wait_s: typing.Annotated[float, msgspec.Meta(ge=0.0)]
    version: int
    store_s: float


Message = typing.TypeVar('Message', Request, Grant)
REQUESTS = msgspec.msgpack.Decoder(Request)
GRANTS = msgspec.msgpack.Decoder(Grant)
