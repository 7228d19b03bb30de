"""What makes two requests the same one, whoever sends them."""

from ..policy import request_digest
from ..transport import message


def compute_digest(request: message.Request, account: str) -> bytes:
    """Return the digest by which a request is recognised.

    Args:
        request: The request, as received or as forwarded.
        account: Client account; empty on an open route.
    """
    return request_digest.compute_digest(
        hostname=message.find_header(request.headers, b'host') or b'',
        method=request.method,
        target=request.target,
        account=account,
        body=request.body,
    )
