"""Engines that fall silent under sends, as when their machines go dark."""

import dataclasses
import enum
from collections.abc import Sequence

from .crash_attribution import Crash, EngineRun, Suspect
from .crash_correlator import CRASH_CONFIRM_MS
from .roster import RosterRow, TargetPhase
from .run_tracker import SUSPECT_WRITING_MS, EngineSend

# Time without a byte of any answer after which an engine is checked, and the
# time between two checks.
SILENCE_MS = 1000
CHECK_INTERVAL_MS = 2000
# Sends that are remembered of an engine.
MAX_GIVEN_UP = 64


class _Presence(enum.Enum):
    """What announcements say of a silent engine."""

    LISTED = 'listed'
    UNCLEAR = 'unclear'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class _Silence:
    """What an engine owes since its last byte."""

    address: str
    since_ms: float
    sends: set[EngineSend] = dataclasses.field(default_factory=set)
    # Monotonic times at which sends were given up.
    given_up_at_ms: dict[EngineSend, float] = dataclasses.field(
        default_factory=dict
    )
    checked_at_ms: float | None = None
    # Whether it did not answer the last check.
    is_unanswered: bool = False
    is_leaving: bool = False

    def is_due(self, now_ms: float) -> bool:
        """Returns whether a check is due."""
        if self.checked_at_ms is None:
            return True
        return now_ms - self.checked_at_ms >= CHECK_INTERVAL_MS

    def compare(
        self, engine: EngineRun, row: RosterRow | None, newest: int
    ) -> _Presence:
        """Compares an engine with what is announced.

        Args:
            engine: The engine.
            row: Announcement with its id.
            newest: Newest incarnation that is announced at its address.
        """
        incarnation = row.incarnation if row else 0
        if row is not None and row.phase is TargetPhase.DRAINING:
            self.is_leaving = True
        if self.is_leaving:
            return _Presence.LISTED
        if max(incarnation, newest) > engine.incarnation:
            return _Presence.ENDED
        if incarnation == engine.incarnation:
            return _Presence.LISTED
        return _Presence.ENDED if self.is_unanswered else _Presence.UNCLEAR


class SilentEngines:
    """Tracks engines that owe answers and have sent nothing since.

    A crash need not close any connection, so a send that was given up is a
    suspect as well if the engine sent nothing until its record went.
    """

    def __init__(self) -> None:
        """Starts without engines."""
        self._engines: dict[EngineRun, _Silence] = {}

    def note_sent(self, send: EngineSend, address: str) -> None:
        """Records a send.

        Args:
            send: The send.
            address: Address of the engine.
        """
        silence = self._engines.setdefault(
            send.engine, _Silence(address, send.sent_at_ms)
        )
        if not silence.sends and not silence.given_up_at_ms:
            silence.since_ms = send.sent_at_ms
        silence.sends.add(send)

    def note_sign(self, engine: EngineRun, now_ms: float) -> None:
        """Records bytes of an answer, which show that an engine is up.

        Args:
            engine: The engine.
            now_ms: Monotonic time.
        """
        silence = self._engines.get(engine)
        if silence is not None:
            silence.since_ms = now_ms
            silence.checked_at_ms = None
            silence.is_unanswered = False
            silence.given_up_at_ms.clear()

    def note_ended(self, send: EngineSend) -> None:
        """Records a send that ended otherwise than by being given up."""
        silence = self._engines.get(send.engine)
        if silence is not None:
            silence.sends.discard(send)
            self._drop_if_idle(send.engine, silence)

    def note_given_up(self, send: EngineSend, now_ms: float) -> None:
        """Records a send that was given up without a complete answer.

        Args:
            send: The send; one that has ended is left as it is.
            now_ms: Monotonic time.
        """
        silence = self._engines.get(send.engine)
        if silence is None or send not in silence.sends:
            return
        silence.sends.discard(send)
        # The earliest ones are the likeliest causes.
        if len(silence.given_up_at_ms) < MAX_GIVEN_UP:
            silence.given_up_at_ms[send] = now_ms

    def is_silent(self, engine: EngineRun, now_ms: float) -> bool:
        """Returns whether an engine owes or owed answers, and is silent.

        Args:
            engine: The engine.
            now_ms: Monotonic time.
        """
        silence = self._engines.get(engine)
        return silence is not None and now_ms - silence.since_ms >= SILENCE_MS

    def to_check(self, now_ms: float) -> Sequence[tuple[EngineRun, str]]:
        """Returns the silent engines, with addresses, that are due for a check.

        Args:
            now_ms: Monotonic time.
        """
        self._expire(now_ms)
        return [
            (engine, silence.address)
            for engine, silence in self._engines.items()
            if self.is_silent(engine, now_ms)
            and silence.is_due(now_ms)
            # An engine that owes nothing any more is checked once.
            and (silence.sends or silence.checked_at_ms is None)
        ]

    def note_check(
        self, engine: EngineRun, now_ms: float, *, answered: bool
    ) -> None:
        """Records the result of a check.

        An answer may be that of a successor at the same address, so it
        clears no suspect.

        Args:
            engine: The engine.
            now_ms: Monotonic time.
            answered: Whether something answered at its address.
        """
        silence = self._engines.get(engine)
        if silence is not None:
            silence.checked_at_ms = now_ms
            silence.is_unanswered = not answered

    def note_rows(
        self, rows: Sequence[RosterRow], now_ms: float
    ) -> tuple[Sequence[EngineRun], Sequence[tuple[EngineRun, str]]]:
        """Compares the engines with their announcements.

        Args:
            rows: Announcements of all targets.
            now_ms: Monotonic time.

        Returns:
            Engines that have certainly ended, and those, with addresses, whose
            announcements are gone and that are due for a check.
        """
        by_id = {row.target_id: row for row in rows} if self._engines else {}
        by_address: dict[str, int] = {}
        for row in by_id.values():
            newest = by_address.get(row.address, 0)
            by_address[row.address] = max(newest, row.incarnation)
        ended: list[EngineRun] = []
        unclear: list[tuple[EngineRun, str]] = []
        for engine, silence in self._engines.items():
            presence = silence.compare(
                engine,
                by_id.get(engine.target_id),
                by_address.get(silence.address, 0),
            )
            if presence is _Presence.ENDED:
                ended.append(engine)
            elif presence is _Presence.UNCLEAR and silence.is_due(now_ms):
                unclear.append((engine, silence.address))
        return ended, unclear

    def take_crash(self, engine: EngineRun, now_ms: float) -> Crash | None:
        """Returns the crash of an engine that has ended, once.

        Args:
            engine: The engine.
            now_ms: Monotonic time.

        Returns:
            The crash, or None if no request may have caused it.
        """
        self._expire(now_ms)
        silence = self._engines.pop(engine, None)
        if silence is None or silence.is_leaving:
            return None
        suspects = {
            send.keys.request_key: Suspect(send.keys, send.progress.stage)
            for send in (*silence.sends, *silence.given_up_at_ms)
            if send.progress.written_ms < SUSPECT_WRITING_MS
        }
        return Crash(engine, silence.since_ms, suspects) if suspects else None

    def _expire(self, now_ms: float) -> None:
        """Forgets sends that were given up long ago."""
        for engine, silence in tuple(self._engines.items()):
            silence.given_up_at_ms = {
                send: at_ms
                for send, at_ms in silence.given_up_at_ms.items()
                if now_ms - at_ms < CRASH_CONFIRM_MS
            }
            self._drop_if_idle(engine, silence)

    def _drop_if_idle(self, engine: EngineRun, silence: _Silence) -> None:
        if not silence.sends and not silence.given_up_at_ms:
            self._engines.pop(engine, None)
