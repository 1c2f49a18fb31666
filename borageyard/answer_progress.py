"""How far an engine got with the answer to one send."""

import dataclasses
import enum

from .event_framer import SEPARATOR


class AnswerStage(enum.Enum):
    """Stage of an answer."""

    # Nothing of it has arrived.
    WAITING = 'waiting'
    # Its head has arrived, but no complete event.
    BEGUN = 'begun'
    WRITING = 'writing'


@dataclasses.dataclass(slots=True)
class AnswerProgress:
    """Progress of the answer to one send."""

    # Monotonic times; None before the head and the first complete event.
    begun_at_ms: float | None = None
    first_event_at_ms: float | None = None
    last_bytes_at_ms: float = 0
    _tail: bytes = b''

    @property
    def stage(self) -> AnswerStage:
        """Returns the present stage."""
        if self.first_event_at_ms is not None:
            return AnswerStage.WRITING
        if self.begun_at_ms is not None:
            return AnswerStage.BEGUN
        return AnswerStage.WAITING

    @property
    def ends_with_event(self) -> bool:
        """Returns whether the bytes so far end with a complete event."""
        return self._tail == SEPARATOR

    def note_bytes(self, chunk: bytes, now_ms: float) -> None:
        """Records a part of the body.

        Args:
            chunk: Bytes of the body, split at any position.
            now_ms: Monotonic time.
        """
        self.last_bytes_at_ms = now_ms
        searched = self._tail[1:] + chunk
        if self.first_event_at_ms is None and SEPARATOR in searched:
            self.first_event_at_ms = now_ms
        self._tail = (self._tail + chunk)[-len(SEPARATOR) :]

    def wrote_ms(self, now_ms: float) -> float:
        """Returns the time since the first event, or 0 before it.

        Args:
            now_ms: Monotonic time.
        """
        if self.first_event_at_ms is None:
            return 0
        return now_ms - self.first_event_at_ms

    @property
    def written_ms(self) -> float:
        """Returns the time from the first event to the last bytes."""
        return self.wrote_ms(self.last_bytes_at_ms)
