"""Reads traces: requests, faults, configuration changes, stated outcomes."""

import dataclasses
import pathlib
import types
from collections.abc import Mapping
from typing import Any

import pydantic

from ..document_validation import (
    DocumentError,
    Problem,
    abbreviate_json,
    check_document,
    parse_json,
)
from ..generated.trace import (
    TraceApplyRecord,
    TraceCrashesRecord,
    TraceEndingRecord,
    TraceFaultRecord,
    TraceHeaderRecord,
    TraceRequestRecord,
    TraceRunsRecord,
    TraceShareRecord,
    TraceVersionRecord,
)

TraceEvent = TraceRequestRecord | TraceFaultRecord | TraceApplyRecord
TraceOutcome = (
    TraceEndingRecord
    | TraceRunsRecord
    | TraceShareRecord
    | TraceVersionRecord
    | TraceCrashesRecord
)

EVENT_MODELS: Mapping[str, type[pydantic.BaseModel]] = types.MappingProxyType(
    {
        'request': TraceRequestRecord,
        'fault': TraceFaultRecord,
        'apply': TraceApplyRecord,
    }
)
OUTCOME_MODELS: Mapping[str, type[pydantic.BaseModel]] = types.MappingProxyType(
    {
        'ending': TraceEndingRecord,
        'runs': TraceRunsRecord,
        'share': TraceShareRecord,
        'version': TraceVersionRecord,
        'crashes': TraceCrashesRecord,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """A validated trace."""

    header: TraceHeaderRecord
    events: tuple[Any, ...]
    outcomes: tuple[Any, ...]


def read_trace(path: str) -> Trace:
    """Reads a trace from a JSON Lines file.

    Args:
        path: Path of the file.

    Returns:
        The trace with its events sorted by time.

    Raises:
        DocumentError: If the file cannot be read or is empty, or if a line
            is invalid; the error names the line number.
    """
    try:
        lines = pathlib.Path(path).read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem('$', 'a file that cannot be read', str(error))
        raise DocumentError(path, (problem,)) from error
    if not lines:
        raise DocumentError(path, (Problem('$', 'an empty file', 'a header'),))
    header = check_document(
        TraceHeaderRecord,
        parse_json(lines[0], path),
        f'{path}:1',
    )
    events = []
    outcomes = []
    for number, line in enumerate(lines[1:], start=2):
        record = _read_line(line, f'{path}:{number}')
        if isinstance(record, TraceEvent):
            events.append(record)
        else:
            outcomes.append(record)
    events.sort(key=_time_of)
    return Trace(header, tuple(events), tuple(outcomes))


def _read_line(line: str, place: str) -> Any:
    document = parse_json(line, place)
    models = {**EVENT_MODELS, **OUTCOME_MODELS}
    kind = document.get('kind') if isinstance(document, dict) else None
    model = models.get(str(kind))
    if model is None:
        problem = Problem(
            '$.kind', abbreviate_json(kind), f'one of {sorted(models)}'
        )
        raise DocumentError(place, (problem,))
    return check_document(model, document, place)


def _time_of(event: Any) -> float:
    return float(event.at_ms)
