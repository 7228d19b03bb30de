"""Pages of routes and their importance."""

import dataclasses

import starlette.requests
import starlette.responses

from ..document import model
from ..operations import editing
from ..operations import revisions
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


@changes.serve_change
def edit_route(
    request: starlette.requests.Request,
    head: revisions.Revision,
    submitted: forms.Submission | None,
) -> changes.Change:
    """Edit one route."""
    name = request.path_params['name']
    route = find_route(head.document, name)
    values = forms.export_route(route)
    form = forms.bind_form(forms.RouteForm, request, submitted, values)
    form.name.render_kw = {'readonly': True}
    offer_services(form, head.document)

    def edit(document: model.Document) -> editing.EditOutcome:
        changed = forms.read_route(form, find_route(document, name))
        return editing.Edited(editing.replace_route(document, changed))

    return changes.Change(
        'route.html', f'Route {name}', form, edit, LIST, {'route': route}
    )


@changes.serve_change
def add_route(
    request: starlette.requests.Request,
    head: revisions.Revision,
    submitted: forms.Submission | None,
) -> changes.Change:
    """Add a route."""
    values = forms.export_route(model.Route('', '', '/'))
    form = forms.bind_form(forms.RouteForm, request, submitted, values)
    offer_services(form, head.document)

    def edit(document: model.Document) -> editing.EditOutcome:
        routes = (*document.routes, forms.read_route(form, None))
        return editing.Edited(dataclasses.replace(document, routes=routes))

    return changes.Change('route.html', 'New route', form, edit, LIST)


@changes.serve_change
def remove_route(
    request: starlette.requests.Request,
    head: revisions.Revision,
    submitted: forms.Submission | None,
) -> changes.Change:
    """Remove a route."""
    name = request.path_params['name']
    find_route(head.document, name)
    form = forms.bind_form(forms.RemovalForm, request, submitted)

    def edit(document: model.Document) -> editing.EditOutcome:
        kept = tuple(r for r in document.routes if r.name != name)
        return editing.Edited(dataclasses.replace(document, routes=kept))

    return changes.Change(
        'confirm.html',
        f'Remove route {name}',
        form,
        edit,
        LIST,
        {'question': f'Remove route {name}?'},
    )


@changes.serve_change
def edit_importance(
    request: starlette.requests.Request,
    head: revisions.Revision,
    submitted: forms.Submission | None,
) -> changes.Change:
    """Edit the importance of all routes side by side."""
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

    return changes.Change(
        'importance.html', 'Importance', form, edit, LIST, {'head': head}
    )


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
