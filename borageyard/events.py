"""Numbered events of the structured log; docs/EVENTS.md is the catalogue."""

import contextlib
import enum
import itertools
import pathlib
import sys
import time
from collections.abc import Iterator
from typing import IO, Any

import eliot

from .document_validation import DocumentError, Problem, abbreviate_json
from .identifiers import new_identifier

STANDARD_ERROR = '-'
PROCESS_TASK_ID = new_identifier()
_TASK_LEVELS = itertools.count(1)
_LOGGER = eliot.Logger()


@enum.unique
class Event(enum.IntEnum):
    """Events that an entry logs, with their numbers."""

    ENTRY_STARTED = 1001
    ENTRY_DRAINING = 1002
    ENTRY_STOPPED = 1003
    CONNECTION_FAILED = 1101
    RESPONSE_ABORTED = 1102
    HEADER_DROPPED = 1103
    CLIENT_LIMITED = 1104
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
    LEASE_TAKEN = 1451
    LEASE_MALFORMED = 1452
    ORDER_SENT = 1453
    ORDER_FAILED = 1454
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
    TARGETS_CHANGED = 1801
    TARGET_RECORD_INVALID = 1802
    STORE_LOST = 1803
    STORE_REGAINED = 1804
    REQUEST_SERVED = 1805
    SETTINGS_RELOADED = 1806
    SEND_FAILED = 1807
    SERVING_CHANGED = 1808
    TABLE_CAUGHT_UP = 1809
    REQUEST_UNSERVED = 1810
    CHAIN_GRANTED = 1811
    CHAIN_DENIED = 1812
    BATCH_FAILED = 1813
    BATCH_ENDED = 1817
    BATCH_OVERDUE = 1818
    PEER_UNANSWERED = 1819
    HISTORY_LOST = 1820
    ANSWER_FOREIGN = 1821
    REPORT_FAILED = 1822
    GATEWAY_DRAINING = 1823
    SETTINGS_WRONG = 1824
    SCHEDULER_CHOSEN = 1825
    CHAIN_MOVED = 1826
    TARGET_CRASHED = 1827
    TARGET_LIMIT_CHANGED = 1828
    TARGET_LIMIT_INVALID = 1829
    STREAM_TAKEN_UP = 1830
    STORE_ERA_CHANGED = 1831
    TABLE_SNAPSHOT_READ = 1832
    STORE_RECORDS_REWRITTEN = 1833
    STREAM_ENDED = 1834
    SEND_LOST = 1841
    CRASH_CONFIRMED = 1842
    CRASH_REFUTED = 1843
    KEYS_QUARANTINED = 1844
    KEYS_CLEARED = 1845
    ENGINE_SILENT = 1846
    CRASH_UNCONFIRMED = 1847
    TARGETS_UNREACHABLE = 1848
    TARGETS_REACHABLE = 1849
    RELAYED_CALL_FAILED = 1850
    TARGET_LEAVING = 1851
    TARGET_PAUSED = 1852
    TARGET_PAUSE_INVALID = 1853
    STREAM_ORIGIN_SOUGHT = 1854
    TASK_FAILED = 1855
    CONFIGURATION_BEHIND = 1856
    LISTENER_FAILED = 1857
    GRANT_DECLINED = 1858
    SCHEDULING_DECLINED = 1880
    ENTRY_LOAD_CHANGED = 1881
    ADDRESS_CLAIMED = 1859
    TARGET_SPEEDS_USED = 1865
    EVACUATION_BEGAN = 1861
    EVACUATION_ENDED = 1862
    TARGET_COLD = 1863
    TARGET_WARM = 1864
    TARGET_COLD_INVALID = 1866
    RESULTS_UNFREED = 1814
    STREAM_RESUMED = 1815
    EVENTS_DROPPED = 1816
    CLAIM_ABANDONED = 1901
    CLAIM_RECORD_INVALID = 1902
    CHECKPOINT_WRITTEN = 1903


def log_event(event: Event, **fields: Any) -> None:
    """Writes an event to the log.

    Args:
        event: The event to write.
        **fields: Fields that the catalogue lists for the event.
    """
    # The eliot task is the request, or the process if there is none.
    _LOGGER.write(
        {
            'message_type': event.name.lower(),
            'event_number': event.value,
            'timestamp': time.time(),
            'task_uuid': fields.get('request_id', PROCESS_TASK_ID),
            'task_level': [next(_TASK_LEVELS)],
            **fields,
        },
    )


@contextlib.contextmanager
def open_log(path: str) -> Iterator[None]:
    """Writes all events to a file until the context exits.

    Args:
        path: Path of the file; ``-`` is standard error.

    Raises:
        DocumentError: If the file can't be opened for writing.
    """
    with contextlib.ExitStack() as stack:
        output: IO[str] = sys.stderr
        if path != STANDARD_ERROR:
            output = stack.enter_context(_open_log_file(path))
        destination = eliot.FileDestination(file=output)
        eliot.add_destinations(destination)
        stack.callback(eliot.remove_destination, destination)
        yield


def _open_log_file(path: str) -> IO[str]:
    try:
        return pathlib.Path(path).open('a', encoding='utf-8')
    except OSError as error:
        expected = f'a writable file ({error})'
        problem = Problem(
            '$.telemetry.log_path', abbreviate_json(path), expected
        )
        raise DocumentError('settings', (problem,)) from error
