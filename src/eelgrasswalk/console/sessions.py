"""Signing in and out."""

import time

import anyio
import anyio.to_thread
import starlette.requests
import starlette.responses

from . import forms
from . import pages
from . import passwords

HOME = '/live'
# A wrong name costs as much time as a wrong password.
UNKNOWN_OPERATOR = passwords.hash_password('unknown', salt=b'\x00' * 16)
PARALLEL_CHECKS = 2


class Gate:
    """Bounds how often and how many passwords are checked."""

    def __init__(self) -> None:
        self._attempts = passwords.AttemptLimiter()
        self._parallel = anyio.CapacityLimiter(PARALLEL_CHECKS)

    async def check(
        self, name: str, password: str, address: str, stored: str
    ) -> bool | None:
        """Check a password; None when there were too many attempts.

        Args:
            name: The operator's name.
            password: The password given.
            address: Where the attempt comes from.
            stored: The digest in the settings.
        """
        now = time.monotonic()
        subject = f'{address} {name}'
        if not self._attempts.admit(subject, now):
            return None
        if len(password) > passwords.MAX_PASSWORD_CHARACTERS:
            return False
        valid = await anyio.to_thread.run_sync(
            passwords.verify_password,
            password,
            stored,
            limiter=self._parallel,
        )
        if valid:
            self._attempts.forget(subject)
        return valid


async def sign_in(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Sign an operator in."""
    submitted = await pages.read_submission(request)
    form = forms.bind_form(forms.SignInForm, request, submitted)
    if submitted is None:
        return show_form(request, form)
    if not form.validate():
        return show_form(request, form, status=422)
    settings = request.app.state.settings
    name = form.name.data or ''
    stored = {o.name: o.password for o in settings.operators}
    valid = await request.app.state.gate.check(
        name,
        form.password.data or '',
        request.client.host if request.client else 'unknown',
        stored.get(name, UNKNOWN_OPERATOR),
    )
    if valid is None:
        problem = 'Too many attempts. Wait a minute and try again.'
        return show_form(request, form, status=429, problem=problem)
    if not valid or name not in stored:
        problem = 'Name or password is wrong.'
        return show_form(request, form, status=401, problem=problem)
    # A session from before the sign-in must not carry over.
    request.session.clear()
    request.session['operator'] = name
    request.session['signed_in_at'] = int(time.time())
    return starlette.responses.RedirectResponse(HOME, 303)


async def sign_out(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """End the session."""
    submitted = await pages.read_submission(request)
    form = forms.bind_form(pages.RemoveForm, request, submitted)
    if form.validate():
        request.session.clear()
    return starlette.responses.RedirectResponse('/sign-in', 303)


def show_form(
    request: starlette.requests.Request,
    form: forms.SignInForm,
    *,
    status: int = 200,
    problem: str = '',
) -> starlette.responses.Response:
    """Show the sign-in form."""
    problems = [problem] if problem else []
    return pages.render(
        request,
        'sign_in.html',
        status=status,
        title='Sign in',
        form=form,
        problems=problems,
    )
