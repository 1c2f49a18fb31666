"""Reads events from the log lines of any number of entries."""

import json
from collections.abc import Mapping
from typing import Any

LogEvent = Mapping[str, Any]


def parse_event(line: str) -> LogEvent | None:
    """Returns the event of a log line, or None if there is none.

    Args:
        line: Log line; text before the JSON is ignored.
    """
    start = line.find('{')
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
    except ValueError:
        return None
    if isinstance(event, dict) and 'message_type' in event:
        return event
    return None


def event_time_s(event: LogEvent) -> float:
    """Returns the time of an event in seconds since the epoch.

    Args:
        event: Event of the log.
    """
    return float(event.get('timestamp', 0))
