"""The head of an HTTP response."""

import http

from .. import verdict
from . import message

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

_STATUS_LINES = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}\r\n'.encode()
    for status in http.HTTPStatus
}


def render_head(
    response: verdict.Response, *, is_head: bool, keep_alive: bool
) -> bytes:
    """Return the status line and the headers, with the empty line.

    Args:
        response: The response.
        is_head: Whether it answers a HEAD request; its own length counts
            then.
        keep_alive: Whether the connection may be used after it.
    """
    parts = [
        _STATUS_LINES.get(response.status)
        or message.build_status_line(response.status)
    ]
    parts += [
        b'%b: %b\r\n' % pair
        for pair in response.headers
        if is_head or pair[0] != b'content-length'
    ]
    if not is_head and response.status not in (204, 304):
        parts.append(b'content-length: %d\r\n' % len(response.body))
    if not keep_alive:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)
