"""Decodes the load that targets state in their answers."""

from ..field_checks import parse_count
from ..inbound import TargetLoad

# Running and waiting requests, and slots.
COUNTS = 3
PERCENT = 100
# A stated slowdown beyond this is taken for an error of the target.
MAX_SLOWDOWN_RATIO = 100


def parse_load(text: str) -> TargetLoad | None:
    """Returns the load that a header states, or None if it states none.

    A figure for the present slowdown may follow the counts. If it is
    malformed, only that figure is dropped.

    Args:
        text: Value of the header: numbers separated by commas.
    """
    parts = [part.strip() for part in text.split(',')]
    counts = [parse_count(part) for part in parts[:COUNTS]]
    known = [count for count in counts if count is not None]
    if len(known) != COUNTS:
        return None
    running, waiting, slots = known
    return TargetLoad(running, waiting, slots, _parse_slowdown(parts[COUNTS:]))


def _parse_slowdown(parts: list[str]) -> float | None:
    percent = parse_count(parts[0]) if len(parts) == 1 else None
    if not percent or percent > MAX_SLOWDOWN_RATIO * PERCENT:
        return None
    return percent / PERCENT
