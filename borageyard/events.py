"""Numbered events of the structured log; docs/EVENTS.md is the catalogue."""

import enum
from typing import Any

import eliot


class Event(enum.IntEnum):
    """Every event that an entry logs."""

    ENTRY_STARTED = 1001
    ENTRY_DRAINING = 1002
    ENTRY_STOPPED = 1003
    CONNECTION_FAILED = 1101
    REQUEST_REFUSED = 1201
    REQUEST_FAILED = 1202
    ATTEMPT_FAILED = 1301
    ANSWER_CROSSED = 1302
    CONFIGURATION_IN_FORCE = 1401
    CONFIGURATION_REJECTED = 1402
    PLATFORM_FAILED = 1501
    LOG_GAP = 1502
    APPEND_UNKNOWN = 1503
    CLAIM_ABANDONED = 1601
    CLAIM_RECORD_INVALID = 1602
    CHECKPOINT_WRITTEN = 1603


def log_event(event: Event, **fields: Any) -> None:
    """Writes one event.

    Args:
        event: Its number and name.
        **fields: What the catalogue says that it carries.
    """
    eliot.log_message(
        message_type=event.name.lower(),
        event_number=event.value,
        **fields,
    )
