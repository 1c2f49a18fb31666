"""Renders the page of measurements from the report of an experiment."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

PERCENT = 100
SECTIONS = (
    ('attainment', 'Attainment in percent', PERCENT),
    ('wasted_share', 'Wasted work in percent', PERCENT),
    ('work_ms', 'Time of targets for each answer in milliseconds', 1),
)


def build_page(summary: Mapping[str, Any]) -> str:
    """Returns the page of measurements in Markdown.

    Args:
        summary: JSON summary, which the bench command prints as its last
            line.
    """
    name = summary['name']
    seed = summary['seed']
    lines = [
        f'# Measurements of bench {name}, seed {seed}',
        '',
        f'Made by `borageyard report {name} --seed {seed} --output FILE`.',
        '',
        *_bound_rows(summary),
    ]
    for metric, heading, factor in SECTIONS:
        lines.extend(
            ('', f'## {heading}', '', *_run_rows(summary, metric, factor))
        )
    lines.extend(('', '## Decision time in microseconds', ''))
    lines.extend(_decision_time_rows(summary['figures']))
    page = '\n'.join(lines)
    return f'{page}\n'


def _bound_rows(summary: Mapping[str, Any]) -> Iterator[str]:
    yield '| figure | measured | bound | met |'
    yield '| --- | ---: | ---: | --- |'
    for bound in summary['bounds']:
        figure = bound['figure']
        measured = _format_value(summary['figures'].get(figure))
        sign = '<=' if bound['at_most'] else '>='
        limit = bound['limit']
        met = 'no' if figure in summary['missed'] else 'yes'
        yield f'| {figure} | {measured} | {sign} {limit} | {met} |'


def _run_rows(
    summary: Mapping[str, Any],
    metric: str,
    factor: int,
) -> Iterator[str]:
    """Yields a Markdown table of scenarios (rows) and policies (columns)."""
    table = _group_by_scenario(summary['figures'], metric)
    policies = list(next(iter(table.values())))
    yield _format_row(('scenario', *policies))
    yield _format_row(('---', *('---:' for _ in policies)))
    for name, runs in table.items():
        shown = [format(runs[policy] * factor, '.2f') for policy in policies]
        yield _format_row((name, *shown))


def _group_by_scenario(
    figures: Mapping[str, Any],
    metric: str,
) -> Mapping[str, Mapping[str, float]]:
    table: dict[str, dict[str, float]] = {}
    for figure, measured in figures.items():
        run_name, _, metric_name = figure.rpartition('.')
        if metric_name == metric:
            scenario, _, policy = run_name.rpartition('/')
            table.setdefault(scenario, {})[policy] = measured
    return table


def _decision_time_rows(figures: Mapping[str, Any]) -> Iterator[str]:
    yield '| decision | time |'
    yield '| --- | ---: |'
    for name, measured in figures.items():
        if '_us_at_' in name:
            yield _format_row((name, _format_value(measured)))


def _format_row(cells: Sequence[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _format_value(measured: Any) -> str:
    return format(measured, '.4g' if isinstance(measured, float) else '')
