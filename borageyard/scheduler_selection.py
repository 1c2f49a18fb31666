"""Selects the scheduler of a group among the longest-running entries."""

from collections.abc import Iterable, Mapping

from .rendezvous import choose

# Entries that start in the same interval count as started together. A restart
# takes longer than this: the others first have to detect that the entry is
# gone, and the gateway's time limits apply.
START_BUCKET_MS = 2000


def choose_scheduler(
    group: str, start_times_ms: Mapping[str, int]
) -> str | None:
    """Returns the entry that schedules a group, or None without entries.

    The entries that started first are preferred. If an entry is killed and
    restarts, the results and calls therefore stay at the entry that replaced
    it. All entries see the same start times, so they
    agree without communication.

    Args:
        group: Name of the group.
        start_times_ms: Start time that each eligible entry reported, as wall
            time in ms; only the order matters.
    """
    first = min(map(_start_bucket, start_times_ms.values()), default=None)
    return choose(group, _entries_in_bucket(start_times_ms, first))


def _entries_in_bucket(
    start_times_ms: Mapping[str, int],
    bucket: int | None,
) -> Iterable[str]:
    return [
        name
        for name, start_ms in start_times_ms.items()
        if _start_bucket(start_ms) == bucket
    ]


def _start_bucket(start_ms: int) -> int:
    return start_ms // START_BUCKET_MS
