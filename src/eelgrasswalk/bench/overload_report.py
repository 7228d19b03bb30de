"""HTML report of the overload experiment, with plots inside the page."""

import base64
import collections.abc
import html
import io
import pathlib
import typing

from matplotlib import figure

from . import overload_load as load
from . import overload_scenario as scenario

Run = tuple[str, str, str, load.Figures]
COLOURS = {
    'eelgrasswalk': 'tab:green',
    'static': 'tab:orange',
    'none': 'tab:red',
}
COLUMNS = (
    'mesh',
    'name',
    'policy',
    'driver',
    'goodput_ratio',
    'top_importance_ratio',
    'recovery_s',
    'wasted_ratio',
    'amplification',
    'worst_account_ratio',
    'wrongful_refusal_ratio',
)


def write_report(
    path: pathlib.Path,
    rows: collections.abc.Sequence[dict[str, typing.Any]],
    runs: collections.abc.Sequence[Run],
    scaling: str,
) -> None:
    """Write the report.

    Args:
        path: File to write.
        rows: The JSON's scenarios.
        runs: Mesh, scenario, policy and figures of each run.
        scaling: How the meshes were scaled, in a sentence.
    """
    parts = [
        '<!doctype html><html lang="en"><meta charset="utf-8">',
        '<title>Overload</title>',
        '<style>body{font-family:sans-serif;margin:2em}',
        'td,th{padding:.2em .6em;text-align:right}</style>',
        '<h1>Overload</h1>',
        f'<p>{html.escape(scaling)}</p>',
        _format_table(rows),
    ]
    names = dict.fromkeys((mesh, name) for mesh, name, _, _ in runs)
    for mesh, name in names:
        chosen = [run for run in runs if run[:2] == (mesh, name)]
        title = f'{mesh}: {name}'
        image = _plot(chosen)
        parts.append(f'<h2>{html.escape(title)}</h2>')
        parts.append(
            f'<img alt="{html.escape(title)}" '
            f'src="data:image/png;base64,{image}">'
        )
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text('\n'.join(parts) + '\n</html>\n')


def format_row(row: dict[str, typing.Any]) -> str:
    """Return a row as a line of text."""
    return ' '.join(str(row[column]) for column in COLUMNS)


def _format_table(
    rows: collections.abc.Sequence[dict[str, typing.Any]],
) -> str:
    lines = ['<table><tr>']
    lines.extend(f'<th>{column}</th>' for column in COLUMNS)
    lines.append('</tr>')
    for row in rows:
        lines.append('<tr>')
        for column in COLUMNS:
            lines.append(f'<td>{html.escape(str(row[column]))}</td>')
        lines.append('</tr>')
    lines.append('</table>')
    return ''.join(lines)


def _plot(runs: collections.abc.Sequence[Run]) -> str:
    drawn = figure.Figure(figsize=(11, 3.5), layout='tight')
    whole, classes = drawn.subplots(1, 2)
    for _, _, policy, figures in runs:
        points = figures.points
        whole.plot(
            [point.at for point in points],
            [point.answered / load.BUCKET_S for point in points],
            label=policy,
            color=COLOURS[policy],
        )
    first = runs[0][3].points
    whole.plot(
        [point.at for point in first],
        [point.sent / load.BUCKET_S for point in first],
        label='sent',
        color='lightgrey',
    )
    whole.set_xlabel('seconds after the trigger')
    whole.set_ylabel('requests answered a second')
    whole.legend()
    for importance in scenario.Importance:
        classes.plot(
            [point.at for point in first],
            [
                point.answered_by_importance[importance] / load.BUCKET_S
                for point in first
            ],
            label=importance.name.lower(),
        )
    classes.set_xlabel('seconds after the trigger')
    classes.set_title(f'answered by importance: {runs[0][2]}')
    classes.legend()
    buffer = io.BytesIO()
    drawn.savefig(buffer, format='png', dpi=80)
    return base64.b64encode(buffer.getvalue()).decode()
