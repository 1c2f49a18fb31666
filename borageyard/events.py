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
    CONFIGURATION_ADOPTED = 1403
    CONFIGURATION_ACCEPTED = 1404
    CONFIGURATION_GAP = 1405
    MEMBER_LEFT = 1406
    PLATFORM_FAILED = 1501
    LOG_GAP = 1511
    APPEND_UNKNOWN = 1512
    PEER_CONNECTED = 1601
    PEER_LOST = 1602
    PEER_FRAME_BROKEN = 1603
    PEER_REFUSED = 1604
    MEMBER_CHANGED = 1605
    PEER_HANDLER_FAILED = 1606
    STAGE_ROUTED = 1701
    TARGET_EJECTED = 1702
    REQUEST_QUARANTINED = 1703
    HEDGE_SENT = 1704
    RETRY_DENIED = 1705
    REQUEST_DELAYED = 1706
    CLAIM_ABANDONED = 1901
    CLAIM_RECORD_INVALID = 1902
    CHECKPOINT_WRITTEN = 1903


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
