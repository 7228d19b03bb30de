"""Tests of the console over ASGI."""

import dataclasses
import html
import pathlib
import re
import unittest

import httpx

from eelgrasswalk.console import application
from eelgrasswalk.console import passwords
from eelgrasswalk.console import settings
from eelgrasswalk.document import loading
from eelgrasswalk.document import model
from eelgrasswalk.operations import editing
from tests.operations import fakes

ROOT = pathlib.Path(__file__).resolve().parents[2]
PASSWORD = 'correct horse'
SETTINGS = settings.Settings(
    listen='127.0.0.1:0',
    platform='memory',
    session_secret='s' * 32,
    operators=(
        settings.Operator(
            'ana', passwords.hash_password(PASSWORD, salt=b'0' * 16)
        ),
    ),
    nodes=('10.0.0.9:1', '10.0.0.1:1'),
    https=False,
)


def load_example() -> model.Document:
    path = ROOT / 'examples' / 'lakeshore.yaml'
    outcome = loading.load_document(path.read_bytes(), source='example')
    assert isinstance(outcome, loading.Loaded)
    return outcome.document


def read_fields(page: str) -> dict[str, str]:
    """Return the values of the inputs and choices of a page's last form."""
    form = page.rpartition('<form')[2]
    fields = {}
    for tag in re.findall(r'<input[^>]*>', form):
        attributes = dict(re.findall(r'([\w-]+)="([^"]*)"', tag))
        ticked = attributes.get('type') != 'checkbox' or ' checked' in tag
        if ticked and 'name' in attributes:
            value = html.unescape(attributes.get('value', ''))
            fields[attributes['name']] = value
    for name, options in re.findall(
        r'<select[^>]*name="([^"]+)"[^>]*>(.*?)</select>', form, re.DOTALL
    ):
        chosen = re.search(r'<option selected value="([^"]*)"', options)
        fields[name] = chosen.group(1) if chosen else ''
    return fields


class ConsoleTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.connections = fakes.MemoryConnections()
        self.store = self.connections.revisions
        self.document = load_example()
        self.store.accept(self.document)
        self.app = application.make_application(SETTINGS, self.connections)
        self.client = self.make_client()
        self.addAsyncCleanup(self.client.aclose)

    def make_client(self) -> httpx.AsyncClient:
        transport = httpx.ASGITransport(self.app)
        return httpx.AsyncClient(
            transport=transport, base_url='http://console'
        )

    async def sign_in(self, password: str = PASSWORD) -> httpx.Response:
        page = await self.client.get('/sign-in')
        fields = read_fields(page.text)
        fields.update(name='ana', password=password)
        return await self.client.post('/sign-in', data=fields)

    async def submit(self, path: str, **values: str) -> httpx.Response:
        page = await self.client.get(path)
        self.assertEqual(page.status_code, 200, page.text)
        fields = read_fields(page.text) | values
        return await self.client.post(path, data=fields)

    async def apply(self, path: str, reviewed: str) -> httpx.Response:
        return await self.client.post(path, data=read_fields(reviewed))

    def find_erie(self) -> model.ClientAccount:
        document = self.store.accepted[-1].document
        found = editing.find_account(document, 'erie')
        assert isinstance(found, model.ClientAccount)
        return found


class SessionTest(ConsoleTest):
    async def test_pages_need_a_session(self) -> None:
        for path in ('/accounts', '/routes', '/live.json', '/history'):
            answer = await self.client.get(path)
            self.assertEqual(answer.status_code, 303)
            self.assertEqual(answer.headers['location'], '/sign-in')

    async def test_sign_in_and_out(self) -> None:
        self.assertEqual((await self.sign_in('wrong')).status_code, 401)
        answer = await self.sign_in()
        self.assertEqual(answer.status_code, 303)
        cookie = answer.headers['set-cookie'].lower()
        self.assertIn('httponly', cookie)
        self.assertIn('samesite=strict', cookie)
        page = await self.client.get('/accounts')
        form = page.text.split('</form>')[0]
        await self.client.post('/sign-out', data=read_fields(form))
        answer = await self.client.get('/accounts')
        self.assertEqual(answer.status_code, 303)

    async def test_attempts_are_bounded(self) -> None:
        for _ in range(passwords.MAX_ATTEMPTS):
            await self.sign_in('wrong')
        self.assertEqual((await self.sign_in()).status_code, 429)

    async def test_withdrawn_operator_loses_the_session(self) -> None:
        await self.sign_in()
        self.app.state.settings = dataclasses.replace(SETTINGS, operators=())
        answer = await self.client.get('/accounts')
        self.assertEqual(answer.status_code, 303)

    async def test_headers_and_large_form(self) -> None:
        answer = await self.client.get('/sign-in')
        policy = answer.headers['content-security-policy']
        self.assertIn("default-src 'none'", policy)
        self.assertNotIn('unsafe', policy)
        self.assertEqual(answer.headers['x-content-type-options'], 'nosniff')
        large = await self.client.post('/sign-in', data={'a': 'b' * 2_000_000})
        self.assertEqual(large.status_code, 413)

    async def test_forged_request_is_refused(self) -> None:
        await self.sign_in()
        page = await self.client.get('/accounts/erie')
        fields = read_fields(page.text) | {'rate': '60', 'csrf_token': 'x'}
        answer = await self.client.post('/accounts/erie', data=fields)
        self.assertEqual(answer.status_code, 422)
        self.assertEqual(len(self.store.accepted), 1)


class ChangeTest(ConsoleTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.sign_in()

    async def test_account_is_reviewed_then_applied(self) -> None:
        shown = await self.submit('/accounts/erie', rate='60', note='dawn')
        self.assertIn('account erie: rate 40 -&gt; 60/s', shown.text)
        self.assertEqual(len(self.store.accepted), 1)
        answer = await self.apply('/accounts/erie', shown.text)
        self.assertEqual(answer.status_code, 303, answer.text)
        self.assertEqual(self.find_erie().rate, 60)
        entry = self.store.accepted[-1].entry
        self.assertEqual((entry.author.operator, entry.note), ('ana', 'dawn'))
        page = await self.client.get('/accounts')
        self.assertIn('Version 2 is accepted.', page.text)

    async def test_value_changed_after_review_is_reviewed_again(self) -> None:
        shown = await self.submit('/accounts/erie', rate='60')
        fields = read_fields(shown.text) | {'rate': '59'}
        answer = await self.client.post('/accounts/erie', data=fields)
        self.assertIn('rate 40 -&gt; 59/s', answer.text)
        self.assertEqual(len(self.store.accepted), 1)

    async def test_conflict_shows_the_other_change_and_keeps_the_form(
        self,
    ) -> None:
        erie = dataclasses.replace(self.find_erie(), burst=99)
        other = editing.replace_account(self.document, erie)
        shown = await self.submit('/accounts/erie', rate='60')
        self.store.racing = other
        answer = await self.apply('/accounts/erie', shown.text)
        self.assertEqual(answer.status_code, 409)
        self.assertIn('burst 80 -&gt; 99', answer.text)
        self.assertIn('benito', answer.text)
        fields = read_fields(answer.text)
        self.assertEqual(fields['rate'], '60')
        again = await self.client.post('/accounts/erie', data=fields)
        self.assertIn('burst 99 -&gt; 80', again.text)

    async def test_invalid_values_are_explained(self) -> None:
        for rate in ('-1', 'nan', 'inf', '', 'x'):
            with self.subTest(rate):
                answer = await self.submit('/accounts/erie', rate=rate)
                self.assertEqual(answer.status_code, 422)
        self.assertEqual(len(self.store.accepted), 1)

    async def test_key_is_shown_once_and_withdrawn(self) -> None:
        path = '/accounts/erie/keys'
        shown = await self.submit(path, label='<b>till</b>')
        self.assertNotIn('egw_', shown.text)
        self.assertNotIn('<b>till', shown.text)
        answer = await self.apply(path, shown.text)
        secret = re.search(r'egw_[\w-]+', answer.text)
        assert secret is not None
        digest = editing.digest_key(secret.group())
        self.assertEqual(self.find_erie().keys[1].digest, digest)
        page = await self.client.get('/accounts/erie')
        self.assertNotIn(secret.group(), page.text)
        link = re.findall(r'/accounts/erie/withdraw\?label=[^"]+', page.text)
        path = html.unescape(link[1])
        shown = await self.submit(path)
        await self.apply(path, shown.text)
        self.assertEqual(len(self.find_erie().keys), 1)

    async def test_importance_of_a_route(self) -> None:
        field = {'route-catalogue': 'low'}
        shown = await self.submit('/importance', **field)
        self.assertIn('importance normal -&gt; low', shown.text)
        answer = await self.apply('/importance', shown.text)
        self.assertEqual(answer.status_code, 303)

    async def test_route_of_unsafe_terms_is_refused(self) -> None:
        answer = await self.submit('/routes/order-placing', open_to_all='y')
        self.assertEqual(answer.status_code, 422)
        self.assertIn('without a key', answer.text)

    async def test_items_are_added_and_removed(self) -> None:
        values = {'name': 'geneva', 'rate': '5', 'burst': '9'}
        shown = await self.submit('/new-account', **values)
        await self.apply('/new-account', shown.text)
        shown = await self.submit('/accounts/geneva/remove')
        await self.apply('/accounts/geneva/remove', shown.text)
        route = {
            'name': 'extra',
            'path_prefix': '/extra',
            'service': 'catalogue',
        }
        shown = await self.submit('/new-route', **route)
        await self.apply('/new-route', shown.text)
        shown = await self.submit('/routes/extra/remove')
        await self.apply('/routes/extra/remove', shown.text)
        last = self.store.accepted[-1]
        self.assertEqual((last.version, last.document), (5, self.document))

    async def test_platform_faults(self) -> None:
        shown = await self.submit('/accounts/erie', rate='60')
        self.store.unavailable = True
        answer = await self.client.get('/accounts')
        self.assertEqual(answer.status_code, 503)
        self.store.unavailable = False
        self.store.answer_lost = True
        answer = await self.apply('/accounts/erie', shown.text)
        self.assertEqual(answer.status_code, 502)
        self.assertIn('may have been accepted', answer.text)

    async def test_live_figures_and_history(self) -> None:
        self.connections.fleet.silent.add('10.0.0.9:1')
        figures = (await self.client.get('/live.json')).json()
        self.assertEqual(figures['answered'], 24)
        self.assertEqual(len(figures['nodes']), 2)
        self.assertIsNone(figures['shed'])
        for path in ('/live', '/history', '/routes', '/static/live.js'):
            answer = await self.client.get(path)
            self.assertEqual(answer.status_code, 200, path)
            self.assertNotIn(' style=', answer.text)

    async def test_missing_items_are_not_found(self) -> None:
        for path in ('/accounts/x', '/routes/x/remove', '/nothing'):
            answer = await self.client.get(path)
            self.assertEqual(answer.status_code, 404, path)
