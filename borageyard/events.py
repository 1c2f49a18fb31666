"""Numbered events of the structured log; docs/EVENTS.md is the catalogue."""

import enum
from typing import Any

import eliot


@enum.unique
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
    PEER_CONNECTED = 1601
    PEER_LOST = 1602
    PEER_FRAME_BROKEN = 1603
    PEER_REFUSED = 1604
    MEMBER_CHANGED = 1605


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
