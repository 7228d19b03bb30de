"""Security headers and a bound on request bodies."""

import starlette.datastructures
import starlette.types

MAX_BODY_BYTES = 1_048_576

POLICY = '; '.join(
    (
        "default-src 'none'",
        "script-src 'self'",
        "style-src 'self'",
        "connect-src 'self'",
        "form-action 'self'",
        "base-uri 'none'",
        "frame-ancestors 'none'",
    )
)

HEADERS = {
    'content-security-policy': POLICY,
    'x-content-type-options': 'nosniff',
    'x-frame-options': 'DENY',
    'referrer-policy': 'same-origin',
    'cross-origin-opener-policy': 'same-origin',
    'cross-origin-resource-policy': 'same-origin',
    'permissions-policy': 'camera=(), geolocation=(), microphone=()',
    'cache-control': 'no-store',
}
STRICT_TRANSPORT = 'max-age=31536000'


class BodyTooLargeError(Exception):
    """A request body beyond the bound."""


class SecurityMiddleware:
    """Adds security headers and bounds request bodies.

    Args:
        app: The application.
        https: Whether browsers reach the console by HTTPS.
    """

    def __init__(
        self, app: starlette.types.ASGIApp, *, https: bool = True
    ) -> None:
        self._app = app
        self._headers = dict(HEADERS)
        if https:
            self._headers['strict-transport-security'] = STRICT_TRANSPORT

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Serve one connection."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        received = 0

        async def receive_bounded() -> starlette.types.Message:
            nonlocal received
            message = await receive()
            received += len(message.get('body', b''))
            if received > MAX_BODY_BYTES:
                raise BodyTooLargeError
            return message

        async def send_with_headers(message: starlette.types.Message) -> None:
            if message['type'] == 'http.response.start':
                headers = starlette.datastructures.MutableHeaders(
                    scope=message
                )
                headers.update(self._headers)
            await send(message)

        await self._app(scope, receive_bounded, send_with_headers)
