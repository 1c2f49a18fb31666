"""Page of measurements made from the report of an experiment."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

PERCENT = 100
HEADINGS = (
    ('attainment', 'Attainment in percent', PERCENT),
    ('wasted_share', 'Wasted work in percent', PERCENT),
    ('work_ms', 'Time of targets for each answer in milliseconds', 1),
)


def build_page(summary: Mapping[str, Any]) -> str:
    """Returns the page in Markdown.

    Args:
        summary: JSON summary that a bench prints last.
    """
    name = summary['name']
    seed = summary['seed']
    lines = [
        f'# Measurements of bench {name}, seed {seed}',
        '',
        f'Made by `borageyard report {name} --seed {seed} --output FILE`.',
        '',
        *_bounds(summary),
    ]
    for part, heading, factor in HEADINGS:
        lines.extend(('', f'## {heading}', '', *_runs(summary, part, factor)))
    lines.extend(('', '## Decision time in microseconds', ''))
    lines.extend(_times(summary['figures']))
    page = '\n'.join(lines)
    return f'{page}\n'


def _bounds(summary: Mapping[str, Any]) -> Iterator[str]:
    yield '| figure | measured | bound | met |'
    yield '| --- | ---: | ---: | --- |'
    for bound in summary['bounds']:
        figure = bound['figure']
        measured = _shown(summary['figures'].get(figure))
        sign = '<=' if bound['at_most'] else '>='
        limit = bound['limit']
        met = 'no' if figure in summary['missed'] else 'yes'
        yield f'| {figure} | {measured} | {sign} {limit} | {met} |'


def _runs(
    summary: Mapping[str, Any],
    part: str,
    factor: int,
) -> Iterator[str]:
    """Yields a table of scenarios and policies."""
    table = _by_scenario(summary['figures'], part)
    policies = list(next(iter(table.values())))
    yield _row(('scenario', *policies))
    yield _row(('---', *('---:' for _ in policies)))
    for name, runs in table.items():
        shown = [format(runs[policy] * factor, '.2f') for policy in policies]
        yield _row((name, *shown))


def _by_scenario(
    figures: Mapping[str, Any],
    part: str,
) -> Mapping[str, Mapping[str, float]]:
    table: dict[str, dict[str, float]] = {}
    for figure, measured in figures.items():
        place, _, kind = figure.rpartition('.')
        if kind == part:
            scenario, _, policy = place.rpartition('/')
            table.setdefault(scenario, {})[policy] = measured
    return table


def _times(figures: Mapping[str, Any]) -> Iterator[str]:
    yield '| decision | time |'
    yield '| --- | ---: |'
    for name, measured in figures.items():
        if '_us_at_' in name:
            yield _row((name, _shown(measured)))


def _row(cells: Sequence[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _shown(measured: Any) -> str:
    return format(measured, '.4g' if isinstance(measured, float) else '')
