"""The console as an ASGI application."""

import functools
import pathlib

import starlette.applications
import starlette.exceptions
import starlette.middleware
import starlette.middleware.sessions
import starlette.requests
import starlette.responses
import starlette.routing
import starlette.staticfiles

from ..operations import connections
from . import accounts
from . import live
from . import pages
from . import routes
from . import security
from . import sessions
from . import settings as console_settings

STATIC = pathlib.Path(__file__).parent / 'static'
BOTH = ['GET', 'POST']
COOKIE = 'eelgrasswalk-console'


def make_application(
    settings: console_settings.Settings, opened: connections.Connections
) -> starlette.applications.Starlette:
    """Wire the console.

    Args:
        settings: The console's settings.
        opened: Opens the platform and nodes.
    """
    application = starlette.applications.Starlette(
        routes=list_routes(),
        middleware=[
            starlette.middleware.Middleware(
                security.SecurityMiddleware, https=settings.https
            ),
            starlette.middleware.Middleware(
                starlette.middleware.sessions.SessionMiddleware,
                secret_key=settings.session_secret,
                session_cookie=COOKIE,
                max_age=settings.session_lifetime_s,
                same_site='strict',
                https_only=settings.https,
            ),
        ],
        exception_handlers={
            starlette.exceptions.HTTPException: show_error,
            security.BodyTooLargeError: show_error,
        },
    )
    application.state.settings = settings
    application.state.gate = sessions.Gate()
    application.state.open_fleet = opened.open_fleet
    application.state.open_revisions = functools.partial(
        opened.open_revisions, settings.platform
    )
    return application


def list_routes() -> list[starlette.routing.BaseRoute]:
    """Return the console's own routes."""
    route = starlette.routing.Route
    return [
        route('/', go_home),
        route('/sign-in', sessions.sign_in, methods=BOTH),
        route('/sign-out', sessions.sign_out, methods=['POST']),
        route('/live', live.show_live),
        route('/live.json', live.send_live),
        route('/history', live.show_history),
        route('/accounts', accounts.list_accounts),
        route('/new-account', accounts.add_account, methods=BOTH),
        route('/accounts/{name}', accounts.edit_account, methods=BOTH),
        route(
            '/accounts/{name}/remove', accounts.remove_account, methods=BOTH
        ),
        route('/accounts/{name}/keys', accounts.add_key, methods=BOTH),
        route(
            '/accounts/{name}/withdraw', accounts.withdraw_key, methods=BOTH
        ),
        route('/routes', routes.list_routes),
        route('/new-route', routes.add_route, methods=BOTH),
        route('/routes/{name}', routes.edit_route, methods=BOTH),
        route('/routes/{name}/remove', routes.remove_route, methods=BOTH),
        route('/importance', routes.edit_importance, methods=BOTH),
        starlette.routing.Mount(
            '/static', starlette.staticfiles.StaticFiles(directory=STATIC)
        ),
    ]


async def go_home(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Send the operator to the first page."""
    return starlette.responses.RedirectResponse(sessions.HOME, 303)


async def show_error(
    request: starlette.requests.Request, error: Exception
) -> starlette.responses.Response:
    """Show why a page cannot be shown."""
    status, detail = 413, 'The form is too large.'
    if isinstance(error, starlette.exceptions.HTTPException):
        status, detail = error.status_code, error.detail
    return pages.render(
        request,
        'error.html',
        status=status,
        title='This page cannot be shown',
        detail=detail,
    )
