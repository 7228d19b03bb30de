"""Pages of routes and their importance."""

import dataclasses

import starlette.requests
import starlette.responses

from ..document import model
from ..operations import editing
from . import changes
from . import forms
from . import pages

LIST = '/routes'


@pages.require_operator
async def list_routes(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Show all routes."""
    async with request.app.state.open_revisions() as store:
        head = await pages.read_head(store)
    return pages.render(request, 'routes.html', title='Routes', head=head)


@pages.require_operator
async def edit_route(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Edit one route."""
    name = request.path_params['name']
    submitted = await pages.read_submission(request)
    async with request.app.state.open_revisions() as store:
        head = await pages.read_head(store)
        route = find_route(head.document, name)
        values = forms.export_route(route)
        form = forms.bind_form(forms.RouteForm, request, submitted, values)
        form.name.render_kw = {'readonly': True}
        offer_services(form, head.document)

        def edit(document: model.Document) -> editing.EditOutcome:
            changed = forms.read_route(form, find_route(document, name))
            return editing.Edited(editing.replace_route(document, changed))

        change = changes.Change(
            'route.html', f'Route {name}', form, edit, LIST, {'route': route}
        )
        if submitted is None:
            return changes.show_change(request, change, head)
        return await changes.submit_change(request, change, head, store)


@pages.require_operator
async def add_route(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Add a route."""
    submitted = await pages.read_submission(request)
    async with request.app.state.open_revisions() as store:
        head = await pages.read_head(store)
        values = forms.export_route(model.Route('', '', '/'))
        form = forms.bind_form(forms.RouteForm, request, submitted, values)
        offer_services(form, head.document)

        def edit(document: model.Document) -> editing.EditOutcome:
            routes = (*document.routes, forms.read_route(form, None))
            return editing.Edited(dataclasses.replace(document, routes=routes))

        change = changes.Change('route.html', 'New route', form, edit, LIST)
        if submitted is None:
            return changes.show_change(request, change, head)
        return await changes.submit_change(request, change, head, store)


@pages.require_operator
async def remove_route(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Remove a route."""
    name = request.path_params['name']
    submitted = await pages.read_submission(request)
    async with request.app.state.open_revisions() as store:
        head = await pages.read_head(store)
        find_route(head.document, name)
        form = forms.bind_form(forms.RemovalForm, request, submitted)

        def edit(document: model.Document) -> editing.EditOutcome:
            kept = tuple(r for r in document.routes if r.name != name)
            return editing.Edited(dataclasses.replace(document, routes=kept))

        change = changes.Change(
            'confirm.html',
            f'Remove route {name}',
            form,
            edit,
            LIST,
            {'question': f'Remove route {name}?'},
        )
        if submitted is None:
            return changes.show_change(request, change, head)
        return await changes.submit_change(request, change, head, store)


@pages.require_operator
async def edit_importance(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Edit the importance of all routes side by side."""
    submitted = await pages.read_submission(request)
    async with request.app.state.open_revisions() as store:
        head = await pages.read_head(store)
        kind = forms.make_importance_form(head.document.routes)
        values = {
            f'route-{route.name}': route.importance.name.lower()
            for route in head.document.routes
        }
        form = forms.bind_form(kind, request, submitted, values)

        def edit(document: model.Document) -> editing.EditOutcome:
            routes = tuple(
                dataclasses.replace(
                    route,
                    importance=model.Importance[
                        form[f'route-{route.name}'].data.upper()
                    ],
                )
                for route in document.routes
            )
            return editing.Edited(dataclasses.replace(document, routes=routes))

        change = changes.Change(
            'importance.html', 'Importance', form, edit, LIST, {'head': head}
        )
        if submitted is None:
            return changes.show_change(request, change, head)
        return await changes.submit_change(request, change, head, store)


def find_route(document: model.Document, name: str) -> model.Route:
    """Return the named route, or answer that there is none."""
    for route in document.routes:
        if route.name == name:
            return route
    pages.raise_missing('route', name)


def offer_services(form: forms.RouteForm, document: model.Document) -> None:
    """Offer the document's services to choose from."""
    form.service.choices = [
        (service.name, service.name) for service in document.services
    ]
