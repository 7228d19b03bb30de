"""Tests of loading, of messages and of the canonical form."""

import hashlib
import pathlib
import unittest

import hypothesis
import hypothesis.strategies

from eelgrasswalk.document import loading
from eelgrasswalk.document import model

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'examples'

SOUND = """\
schema: 1
mesh: small
accounts:
  - name: erie
    rate: 40
    burst: 80
    keys:
      - {label: first, digest: %s}
services:
  - {name: catalogue, slots: 100, connections: 750}
routes:
  - {name: browse, service: catalogue, path_prefix: /, idempotent: true}
""" % ('a' * 64)


def load_problems(text: str) -> list[str]:
    outcome = loading.load_document(text, source='test')
    if isinstance(outcome, loading.Loaded):
        return []
    return [
        f'{found.path}:{found.line}: {found.message}'
        for found in outcome.problems
    ]


class LoadingTest(unittest.TestCase):
    def assert_problem(self, text: str, *parts: str) -> None:
        problems = load_problems(text)
        for problem in problems:
            if all(part in problem for part in parts):
                return
        self.fail(f'no problem with {parts} in {problems}')

    def test_sound_document_loads(self) -> None:
        outcome = loading.load_document(SOUND, source='test')
        assert isinstance(outcome, loading.Loaded)
        self.assertEqual(outcome.document.accounts[0].rate, 40)
        self.assertEqual(outcome.warnings, ())

    def test_every_error_comes_at_once(self) -> None:
        text = SOUND.replace('rate: 40', 'rtae: 40')
        text = text.replace('slots: 100', 'slots: 0')
        text = text.replace('service: catalogue', 'service: catalog')
        problems = load_problems(text)
        self.assertEqual(len(problems), 4, problems)
        self.assert_problem(text, 'accounts[erie].rate:4', 'is missing')
        self.assert_problem(text, 'accounts[erie].rtae:5', "mean 'rate'?")
        self.assert_problem(text, 'services[catalogue].slots:10', 'not 0')
        self.assert_problem(
            text, 'routes[browse].service:12', "mean 'catalogue'?"
        )

    def test_wrong_choice_names_the_nearest(self) -> None:
        text = SOUND.replace(
            'idempotent: true', 'idempotent: true, importance: hihg'
        )
        self.assert_problem(text, "mean 'high'?", 'critical, high')

    def test_duplicate_name_in_mapping_is_an_error(self) -> None:
        text = SOUND.replace(
            '    burst: 80\n', '    burst: 80\n    rate: 41\n'
        )
        self.assert_problem(
            text, 'accounts[erie].rate:7', 'first is on line 5'
        )

    def test_pasted_key_is_not_repeated(self) -> None:
        text = SOUND.replace('a' * 64, 'my-secret-key')
        problems = load_problems(text)
        self.assertEqual(len(problems), 1)
        self.assertNotIn('my-secret-key', problems[0])
        self.assertIn('key create', problems[0])

    def test_unsafe_or_unbounded_text_is_refused(self) -> None:
        bomb = 'a: &a [x, x, x, x, x, x, x, x, x, x]\n'
        for last, name in zip('abcdefg', 'bcdefgh', strict=True):
            bomb += f'{name}: &{name} [{", ".join([f"*{last}"] * 10)}]\n'
        texts = (
            '',
            'schema: !!python/object/apply:os.getcwd []',
            'schema: .nan',
            'a: &a [*a]',
            'a: *missing',
            'a: {[1]: 2}',
            'schema: 1\n---\nschema: 1\n',
            '[' * 40,
            'a: "\x00"',
            bomb,
            '#' * 5_000_000,
        )
        for text in texts:
            with self.subTest(text=text[:40]):
                self.assertTrue(load_problems(text))
        outcome = loading.load_document(b'\xff\xfe', source='test')
        self.assertIsInstance(outcome, loading.Invalid)

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(hypothesis.strategies.text(max_size=60))
    def test_any_text_has_an_outcome(self, text: str) -> None:
        for whole in (text, SOUND + text, SOUND.replace('erie', text)):
            loading.load_document(whole, source='test')


class ExamplesTest(unittest.TestCase):
    def test_examples_load_without_warnings(self) -> None:
        for mesh in ('lakeshore', 'cebollati'):
            path = EXAMPLES / f'{mesh}.yaml'
            outcome = loading.load_document(path.read_bytes(), source=mesh)
            assert isinstance(outcome, loading.Loaded), outcome
            self.assertEqual(outcome.warnings, ())
            self.assertEqual(len(outcome.document.accounts), 8)
            for account in outcome.document.accounts:
                key = f'demo-{mesh}-{account.name}-1'
                digest = hashlib.sha256(key.encode()).hexdigest()
                self.assertEqual(account.keys[0].digest, digest)


names = hypothesis.strategies.from_regex(
    r'[a-z0-9][a-z0-9_-]{0,8}', fullmatch=True
)
labels = hypothesis.strategies.text(
    hypothesis.strategies.characters(
        codec='utf-8', exclude_categories=('C', 'Zl', 'Zp')
    ),
    min_size=1,
    max_size=20,
)
keys = hypothesis.strategies.builds(
    model.Key,
    label=labels,
    digest=hypothesis.strategies.from_regex(r'[0-9a-f]{64}', fullmatch=True),
)
accounts = hypothesis.strategies.builds(
    model.ClientAccount,
    name=names,
    rate=hypothesis.strategies.floats(0.001, 1000),
    burst=hypothesis.strategies.integers(1, 10_000),
    keys=hypothesis.strategies.lists(
        keys, max_size=2, unique_by=lambda key: key.label
    ).map(tuple),
)
routes = hypothesis.strategies.builds(
    model.Route,
    name=names,
    service=hypothesis.strategies.just('svc'),
    path_prefix=names.map(lambda name: f'/{name}'),
    methods=hypothesis.strategies.sampled_from([(), ('GET',), ('POST',)]),
    importance=hypothesis.strategies.sampled_from(model.Importance),
    idempotent=hypothesis.strategies.booleans(),
    deadline_s=hypothesis.strategies.floats(0.01, 100),
    once=hypothesis.strategies.sampled_from(model.OnceMode),
)
documents = hypothesis.strategies.builds(
    model.Document,
    schema=hypothesis.strategies.just(1),
    mesh=names,
    accounts=hypothesis.strategies.lists(
        accounts, max_size=3, unique_by=lambda account: account.name
    ).map(tuple),
    services=hypothesis.strategies.just((model.Service('svc', 1, 1),)),
    routes=hypothesis.strategies.lists(
        routes,
        max_size=3,
        unique_by=(lambda route: route.name, lambda route: route.path_prefix),
    ).map(tuple),
)


class RoundTripTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(documents)
    def test_dumped_document_loads_as_itself(
        self, document: model.Document
    ) -> None:
        digests = [k.digest for a in document.accounts for k in a.keys]
        hypothesis.assume(len(digests) == len(set(digests)))
        text = loading.dump_document(document)
        outcome = loading.load_document(text, source='test')
        assert isinstance(outcome, loading.Loaded), outcome
        self.assertEqual(outcome.document, document)
        self.assertEqual(loading.dump_document(outcome.document), text)
        people = loading.format_document(document)
        read = loading.load_document(people, source='test')
        assert isinstance(read, loading.Loaded), read
        self.assertEqual(read.document, document)

    def test_faults_in_json_have_their_lines(self) -> None:
        sound = '{"schema": 1, "mesh": "a",\n "mesh": "b", "accounts": [],\n'
        text = sound + ' "services": [], "routes": [NaN]}'
        lines = {found.split(':')[1] for found in load_problems(text)}
        self.assertEqual(lines, {'2', '3'})
        self.assertTrue(load_problems('{"a": ' * 100_000))
