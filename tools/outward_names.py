"""Lists the names that leave the process, as docs/outward-names.md.

Run `python tools/outward_names.py --write` after a name has been added. A name
on the page is read by other programs, stored, or seen by an operator: renaming
it breaks them.
"""

import argparse
import ast
import collections
import collections.abc
import pathlib
import re
import sys
import textwrap

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / 'src' / 'eelgrasswalk'
PAGE = ROOT / 'docs' / 'outward-names.md'
WIDTH = 79

# Classes whose fields are written or read under their own names.
SERIALIZED = {
    'bench/baseline.py': ('Plan',),
    'bench/control_worker.py': ('Known',),
    'bench/graph_plan.py': ('Kind', 'Account', 'Fault', 'Plan'),
    'bench/replayers.py': ('LevelEvent', 'RetryEvent', 'BalanceEvent'),
    'bench/traces.py': ('Outcome', 'Trace', 'Failure'),
    'console/settings.py': ('Operator', 'Settings'),
    'controllers/audit.py': ('Author', 'Entry'),
    'document/problem.py': ('Problem',),
    'events.py': ('Event',),
    'operations/fleet.py': ('Member', 'NodeStatus'),
    'operations/store.py': ('Head',),
    'policy/account_rates.py': ('Slack',),
    'policy/retry_budget.py': ('RetryBounds',),
    'policy/roster.py': ('Entry',),
    'settings.py': None,
    'standins/faults.py': ('Rule',),
    'standins/platform.py': ('Behaviour', 'LogEntry'),
    'standins/steering.py': ('RouteState',),
    'standins/target.py': ('Behaviour', 'Entry'),
    'document/model.py': None,
    'controllers/configuration.py': ('State',),
    'controllers/membership.py': ('Traffic',),
    'platform/http.py': ('Counters',),
    'policy/levels.py': ('Level',),
    'node.py': ('Addresses',),
}
# Enumerations whose members are written by their names.
NAMED_MEMBERS = {
    'cli/terminal.py': ('ExitCode',),
    'document/model.py': ('Importance',),
    'policy/log_budget.py': ('LineCategory',),
    'policy/member.py': ('MemberState', 'Health'),
}
# Functions whose keyword arguments become fields of a log record.
LOG_CALLS = frozenset(('log', 'log_counted'))
TYPE_MAKERS = frozenset(('TypeVar', 'ParamSpec', 'cast'))

Names = dict[str, set[str]]


def _parse_sources() -> dict[str, ast.Module]:
    return {
        path.relative_to(SOURCE).as_posix(): ast.parse(path.read_text())
        for path in sorted(SOURCE.rglob('*.py'))
    }


def _is_type_maker(call: ast.Call) -> bool:
    name = call.func.attr if isinstance(call.func, ast.Attribute) else ''
    return name in TYPE_MAKERS


def _list_type_nodes(tree: ast.Module) -> set[int]:
    found: set[int] = set()
    for node in ast.walk(tree):
        part: ast.AST | None = None
        if isinstance(node, ast.arg | ast.AnnAssign):
            part = node.annotation
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            part = node.returns
        elif isinstance(node, ast.Subscript):
            part = node.slice if not _is_lookup(node) else None
        elif isinstance(node, ast.Call) and _is_type_maker(node):
            part = node.args[0]
        if part is not None:
            found.update(id(each) for each in ast.walk(part))
    return found


def _is_lookup(node: ast.Subscript) -> bool:
    return isinstance(node.slice, ast.Constant)


def _list_docstrings(tree: ast.Module) -> set[int]:
    return {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(
            node,
            ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef,
        )
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }


def collect_strings(trees: dict[str, ast.Module]) -> Names:
    """Return the texts without blanks of each folder.

    Types and docstrings are left out.
    """
    found: Names = collections.defaultdict(set)
    for path, tree in trees.items():
        ignored = _list_type_nodes(tree) | _list_docstrings(tree)
        folder = path.split('/')[0] if '/' in path else '.'
        for node in ast.walk(tree):
            if not isinstance(node, ast.Constant) or id(node) in ignored:
                continue
            value = node.value
            if isinstance(value, bytes):
                value = value.decode('latin-1')
            if isinstance(value, str) and re.fullmatch(r'[!-_a-~]{2,}', value):
                found[folder].add(value)
    return found


def collect_log_fields(trees: dict[str, ast.Module]) -> Names:
    """Return the fields of log records that are keyword arguments."""
    found: Names = collections.defaultdict(set)
    for tree in trees.values():
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            target = node.func
            if (
                isinstance(target, ast.Attribute)
                and target.attr in LOG_CALLS
                and isinstance(target.value, ast.Name)
                and target.value.id == 'events'
            ):
                found['events'] |= {k.arg for k in node.keywords if k.arg}
    return found


def _list_classes(
    tree: ast.Module, wanted: collections.abc.Collection[str] | None
) -> list[ast.ClassDef]:
    return [
        node
        for node in tree.body
        if isinstance(node, ast.ClassDef)
        and (wanted is None or node.name in wanted)
    ]


def collect_fields(trees: dict[str, ast.Module]) -> Names:
    """Return the fields of classes that are written under their names."""
    found: Names = {}
    for path, wanted in SERIALIZED.items():
        for item in _list_classes(trees[path], wanted):
            names = {
                line.target.id
                for line in item.body
                if isinstance(line, ast.AnnAssign)
                and isinstance(line.target, ast.Name)
            }
            if names:
                found[f'{path}: {item.name}'] = names
    return found


def collect_members(trees: dict[str, ast.Module]) -> Names:
    """Return the members of enumerations that are written by name."""
    found: Names = {}
    for path, wanted in NAMED_MEMBERS.items():
        for item in _list_classes(trees[path], wanted):
            found[f'{path}: {item.name}'] = {
                target.id.lower()
                for line in item.body
                if isinstance(line, ast.Assign)
                for target in line.targets
                if isinstance(target, ast.Name)
            }
    return found


def collect_template_names() -> Names:
    """Return the attributes and variables that the console's pages use."""
    found: Names = collections.defaultdict(set)
    for path in sorted((SOURCE / 'console' / 'templates').glob('*.html')):
        for part in re.findall(r'{[{%](.*?)[%}]}', path.read_text()):
            bare = re.sub(r"'[^']*'", '', part)
            found['console/templates'] |= set(
                re.findall(r'[a-z_][a-z_0-9]+', bare)
            )
    return found


def _render(title: str, note: str, names: Names) -> list[str]:
    lines = [f'## {title}', '', note, '']
    for place in sorted(names):
        words = ' '.join(f'`{name}`' for name in sorted(names[place]))
        lines += [
            f'### {place}',
            '',
            *textwrap.wrap(
                words, WIDTH, break_long_words=False, break_on_hyphens=False
            ),
            '',
        ]
    return lines


def render_page() -> str:
    """Return the page of outward names."""
    trees = _parse_sources()
    lines = [
        '# Names that leave the process',
        '',
        'Other programs, stored data and operators rely on these names: they',
        'stay letter for letter when code is renamed. The page is written by',
        '`python tools/outward_names.py --write`.',
        '',
        *_render(
            'Texts',
            'Every text without blanks in the code: headers, paths, message '
            'fields,\nstored fields, settings keys, flags, metrics and their '
            'labels.',
            collect_strings(trees),
        ),
        *_render(
            'Fields of log records',
            'Keyword arguments of the calls that write a record.',
            collect_log_fields(trees),
        ),
        *_render(
            'Fields written under their own names',
            'Settings, the document, stored entries, status and reports.',
            collect_fields(trees),
        ),
        *_render(
            'Members written by name',
            'Written in lower case.',
            collect_members(trees),
        ),
        *_render(
            'Names in templates',
            "Variables and attributes that the console's pages read.",
            collect_template_names(),
        ),
    ]
    return '\n'.join(lines).rstrip('\n') + '\n'


def main() -> int:
    """Print or write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--write', action='store_true')
    options = parser.parse_args()
    page = render_page()
    if options.write:
        PAGE.write_text(page)
    else:
        sys.stdout.write(page)
    return 0


if __name__ == '__main__':
    sys.exit(main())
