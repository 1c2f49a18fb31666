"""Which entry schedules a group of services: one of those that run longest."""

from collections.abc import Iterable, Mapping

from .rendezvous import choose

# Entries that start within the same span count as started together; a restart
# takes longer (time until the others miss an entry, gateway bounds).
START_BUCKET_MS = 2000


def choose_scheduler(group: str, started: Mapping[str, int]) -> str | None:
    """Returns the entry that schedules a group, or none without entries.

    Answers the load pattern of an entry that is killed and comes back: what
    its deputy holds and has under way stays where it is. All entries see the
    same start times, so that they agree without asking.

    Args:
        group: Name of the group.
        started: Wall time in ms at which each entry that may schedule says
            that it started; only its order matters.
    """
    first = min(map(_start_bucket, started.values()), default=None)
    return choose(group, _entries_in_bucket(started, first))


def _entries_in_bucket(
    started: Mapping[str, int], span: int | None
) -> Iterable[str]:
    return [
        name
        for name, start_ms in started.items()
        if _start_bucket(start_ms) == span
    ]


def _start_bucket(start_ms: int) -> int:
    return start_ms // START_BUCKET_MS
