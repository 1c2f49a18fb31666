"""Runs of prompts at engines, and those that were lost or were sound."""

import dataclasses
from collections.abc import Collection, Sequence

from .answer_progress import AnswerProgress
from .crash_attribution import Crash, EngineRun, Suspect
from .crash_correlator import CRASH_CONFIRM_MS
from .request_keys import RequestKeys

# Time since the first event from which a request is not blamed for a crash, and
# its answer is sound.
SUSPECT_WRITING_MS = 500
SOUND_WRITING_MS = SUSPECT_WRITING_MS


@dataclasses.dataclass(slots=True, eq=False)
class EngineSend:
    """One send of a request to an engine."""

    keys: RequestKeys
    engine: EngineRun
    sent_at_ms: float
    progress: AnswerProgress = dataclasses.field(default_factory=AnswerProgress)
    # Whether its answer has ended, is certainly complete, and was counted as
    # sound.
    has_ended: bool = False
    is_whole: bool = False
    is_counted: bool = False

    def is_sound(self, now_ms: float) -> bool:
        """Returns whether its engine has certainly not crashed under it.

        Args:
            now_ms: Monotonic time.
        """
        if self.is_whole:
            return True
        # An engine that crashes silently closes no connection.
        wrote_ms = (
            self.progress.wrote_ms(now_ms)
            if self.has_ended
            else self.progress.written_ms
        )
        return wrote_ms >= SOUND_WRITING_MS


@dataclasses.dataclass(slots=True)
class _Loss:
    at_ms: float
    suspects: dict[str, Suspect]


class RunTracker:
    """Tracks the runs that this entry started at engines."""

    def __init__(self) -> None:
        """Starts without runs."""
        # Runs whose answers are under way, and those whose answers ended but
        # are too short to count as sound yet.
        self._runs: set[EngineSend] = set()
        self._ended: set[EngineSend] = set()
        # Losses at engines that may be up.
        self._losses: dict[EngineRun, _Loss] = {}
        # Monotonic times at which engines turned out to be down.
        self._down_at_ms: dict[EngineRun, float] = {}

    def start(
        self, keys: RequestKeys, engine: EngineRun, now_ms: float
    ) -> EngineSend:
        """Records a send.

        Args:
            keys: Keys of the request.
            engine: Engine that it is sent to.
            now_ms: Monotonic time.
        """
        send = EngineSend(keys, engine, now_ms)
        self._runs.add(send)
        return send

    def is_running(self, keys: frozenset[str]) -> bool:
        """Returns whether a request with all of some keys is at an engine.

        One that was lost counts until it is known whether the engine crashed.

        Args:
            keys: The keys.
        """
        lost = [
            suspect.keys
            for loss in self._losses.values()
            for suspect in loss.suspects.values()
        ]
        running = [send.keys for send in self._runs]
        return any(keys <= one.all_keys for one in (*running, *lost))

    def note_answering(self, send: EngineSend, now_ms: float) -> bool:
        """Records the head of an answer.

        Args:
            send: The send.
            now_ms: Monotonic time.

        Returns:
            Whether it shows that an engine did not crash at an earlier loss.
        """
        send.progress.begun_at_ms = now_ms
        loss = self._losses.get(send.engine)
        if loss is None or loss.at_ms >= send.sent_at_ms:
            return False
        self._losses.pop(send.engine)
        return True

    def note_whole(
        self, send: EngineSend, now_ms: float, *, framed: bool
    ) -> None:
        """Records an answer that ended as it should.

        Args:
            send: The send.
            now_ms: Monotonic time.
            framed: Whether the answer states where it ends; the end of another
                one may be a crash.
        """
        if send not in self._runs:
            return
        self._runs.discard(send)
        self._ended.add(send)
        send.has_ended = True
        send.is_whole = framed
        if not framed:
            self._add_suspect(send, now_ms)

    def note_dropped(self, send: EngineSend) -> None:
        """Records a send that was given up, or of which nothing ran.

        It neither blames nor clears its request.

        Args:
            send: The send; one that has ended is left as it is.
        """
        self._runs.discard(send)

    def note_lost(self, send: EngineSend, now_ms: float) -> bool:
        """Records a send whose connection ended without a complete answer.

        Args:
            send: The send.
            now_ms: Monotonic time.

        Returns:
            Whether its request is a suspect, if the engine has crashed.
        """
        self._runs.discard(send)
        return self._add_suspect(send, now_ms)

    def unconfirmed(self, now_ms: float) -> Collection[EngineRun]:
        """Returns the engines with losses that may be up.

        Args:
            now_ms: Monotonic time.
        """
        self._losses = {
            engine: loss
            for engine, loss in self._losses.items()
            if now_ms - loss.at_ms < CRASH_CONFIRM_MS
        }
        return tuple(self._losses)

    def is_down(self, engine: EngineRun) -> bool:
        """Returns whether an engine turned out to be down.

        Args:
            engine: The engine.
        """
        return engine in self._down_at_ms

    def confirm(self, engine: EngineRun, now_ms: float) -> Crash | None:
        """Records that an engine is down, is gone or has restarted.

        Args:
            engine: The engine.
            now_ms: Monotonic time.

        Returns:
            The crash, or None if nothing was lost there.
        """
        loss = self._losses.pop(engine, None)
        if loss is None:
            return None
        self._down_at_ms = {
            other: at_ms
            for other, at_ms in self._down_at_ms.items()
            if now_ms - at_ms < CRASH_CONFIRM_MS
        }
        self._down_at_ms.setdefault(engine, loss.at_ms)
        self._ended = {
            send
            for send in self._ended
            if send.is_whole or send.engine != engine
        }
        return Crash(engine, loss.at_ms, loss.suspects)

    def refute(self, engine: EngineRun) -> bool:
        """Records that an engine is up; returns whether it had losses.

        Args:
            engine: The engine.
        """
        return self._losses.pop(engine, None) is not None

    def take_sound(self, now_ms: float) -> Sequence[EngineSend]:
        """Returns the runs that have turned out to be sound, each one once.

        Args:
            now_ms: Monotonic time.
        """
        engines = self.unconfirmed(now_ms)
        unsettled = {
            send
            for send in self._ended
            if send.engine in engines and not send.is_whole
        }
        sound = [
            send
            for send in (*self._runs, *self._ended)
            if send.is_sound(now_ms)
            and not send.is_counted
            and send not in unsettled
        ]
        for send in sound:
            send.is_counted = True
            self._ended.discard(send)
        return sound

    def _add_suspect(self, send: EngineSend, now_ms: float) -> bool:
        """Adds a suspect unless its answer had been written for long."""
        progress = send.progress
        if progress.wrote_ms(now_ms) >= SUSPECT_WRITING_MS:
            return False
        loss = self._losses.setdefault(send.engine, _Loss(now_ms, {}))
        loss.suspects[send.keys.request_key] = Suspect(
            send.keys, progress.stage
        )
        return True
