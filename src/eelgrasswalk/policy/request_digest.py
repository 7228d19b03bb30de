"""Digest of a request, by which a repetition of it is recognised.

It handles a request that crashes its target and comes again: under a new id,
at any node, sent by the client or by a retry. What varies between repetitions
(ids, deadlines, the node where it began) is not part of the digest.
"""

import hashlib

DIGEST_BYTES = 12


def compute_digest(
    *, hostname: bytes, method: str, target: str, account: str, body: bytes
) -> bytes:
    """Return the digest of a request.

    Args:
        hostname: Host that the request names; its case and port are ignored.
        method: HTTP method.
        target: Path with query, as received.
        account: Client account; empty on an open route.
        body: The whole body.
    """
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    fields = (
        hostname.partition(b':')[0].lower(),
        method.encode(),
        target.encode(),
        account.encode(),
    )
    for field in fields:
        # Lengths keep two requests apart whose fields join to the same bytes.
        hashed.update(b'%d:' % len(field))
        hashed.update(field)
    hashed.update(body)
    return hashed.digest()
