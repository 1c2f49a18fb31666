"""Marks of incarnations that are leaving; marks are never revoked."""

import dataclasses
from collections.abc import Iterable

MARK_TTL_MS = 600_000
MAX_MARKS = 4096
# Time in which a new mark is sent to peers as often as possible.
RECENT_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingMark:
    """One incarnation of an instance that must get no new work."""

    instance_id: str
    incarnation: int = 0


class LeavingMarks:
    """Marks from any source, to be passed on to peers."""

    def __init__(self) -> None:
        """Initializes an empty set of marks."""
        self._added_at_ms: dict[LeavingMark, float] = {}
        self._next_index = 0
        self._last_added_at_ms: float | None = None

    def add(self, mark: LeavingMark, now_ms: float) -> bool:
        """Adds a mark; drops the oldest one if there are too many.

        Args:
            mark: The mark.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether the mark is new.
        """
        if mark in self._added_at_ms:
            return False
        if len(self._added_at_ms) >= MAX_MARKS:
            self._added_at_ms.pop(next(iter(self._added_at_ms)))
        self._added_at_ms[mark] = now_ms
        self._last_added_at_ms = now_ms
        return True

    def __contains__(self, mark: object) -> bool:
        """Returns whether an incarnation is marked as leaving."""
        return mark in self._added_at_ms

    def has_recent(self, now_ms: float) -> bool:
        """Returns whether a mark was added within the last RECENT_MS.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        last_added_at_ms = self._last_added_at_ms
        return (
            last_added_at_ms is not None
            and now_ms - last_added_at_ms < RECENT_MS
        )

    def next_batch(self, count: int, now_ms: float) -> tuple[LeavingMark, ...]:
        """Returns marks to send: the newest first, the others in rotation.

        Args:
            count: Maximum number of marks in one message.
            now_ms: Monotonic time in milliseconds.
        """
        self._expire(now_ms)
        newest = tuple(reversed(self._added_at_ms))
        recent = newest[: count // 2]
        rest = newest[count // 2 :]
        if not rest:
            return recent
        start = self._next_index % len(rest)
        self._next_index += count - len(recent)
        rotated = (*rest[start:], *rest[:start])
        return (*recent, *rotated[: count - len(recent)])

    def add_all(
        self,
        marks: Iterable[LeavingMark],
        now_ms: float,
    ) -> tuple[LeavingMark, ...]:
        """Adds marks.

        Args:
            marks: The marks.
            now_ms: Monotonic time in milliseconds.

        Returns:
            The marks that are new.
        """
        return tuple(mark for mark in marks if self.add(mark, now_ms))

    def _expire(self, now_ms: float) -> None:
        expired = [
            mark
            for mark, added_at_ms in self._added_at_ms.items()
            if now_ms - added_at_ms > MARK_TTL_MS
        ]
        for mark in expired:
            self._added_at_ms.pop(mark)
