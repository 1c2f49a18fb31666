"""Evidence about crashes of engines, shared between the entries."""

import asyncio
import math
from collections.abc import Callable, Collection

from .clock import MS_PER_S, Clock
from .crash_attribution import Crash, EngineRun
from .crash_evidence import CrashEvidence, QuarantinedKeys
from .crash_news import decode_crashes, decode_quarantined, encode_news
from .events import Event, log_event
from .generated.peer_crashes import CrashNewsBody
from .peers import GossipSection, PeerLink
from .run_tracker import RunTracker

# Delay in which several changes are passed on together.
ANNOUNCE_DELAY_MS = 5
# Interval in which what is known is sent again, for entries that start.
REPEAT_MS = 1200
# Time in which the neighbours get the same message.
ROUND_MS = 50
# Called when something more is quarantined.
QuarantineListener = Callable[[], None]


class CrashSuspects:
    """Gathers the evidence of this entry and its peers, and concludes.

    Each entry tells its neighbours at once what is new, and they pass it on.
    """

    def __init__(self, link: PeerLink, clock: Clock) -> None:
        """Registers its messages on the link.

        Args:
            link: Link to the other entries.
            clock: Monotonic clock.
        """
        self.evidence = CrashEvidence()
        self.tracker = RunTracker()
        self._link = link
        self._clock = clock
        # Called with the engine of a crash that a peer reported.
        self.on_reported: Callable[[EngineRun], None] | None = None
        self._listeners: list[QuarantineListener] = []
        self._announcement: asyncio.TimerHandle | None = None
        # Start of the round in which the neighbours were last told.
        self._told_at_ms = -math.inf
        link.add_gossip_section(
            GossipSection(
                CrashNewsBody, self._provide, self._consume, urgent=True
            ),
        )

    def add_listener(self, listener: QuarantineListener) -> None:
        """Registers a callback that runs when more is quarantined.

        Args:
            listener: The callback.
        """
        self._listeners.append(listener)

    def close(self) -> None:
        """Cancels a pending announcement."""
        if self._announcement is not None:
            self._announcement.cancel()
            self._announcement = None

    def report_crash(self, crash: Crash, reason: str) -> None:
        """Adds a crash that this entry has detected.

        Args:
            crash: The crash, with the requests that this entry lost.
            reason: How it showed that the engine is down.
        """
        if self._add_crash(crash, reason, ''):
            self._take_sound()
            self._conclude('')
            self._announce()

    def _add_crash(self, crash: Crash, reason: str, source_id: str) -> bool:
        now_ms = self._clock.steady_ms()
        news = self.evidence.add_crash(crash, now_ms)
        if news:
            log_event(
                Event.CRASH_CONFIRMED,
                target_id=crash.engine.target_id,
                reason=reason,
                source_id=source_id,
                age_ms=round(now_ms - crash.at_ms),
                suspects={
                    key: suspect.stage.value
                    for key, suspect in crash.suspects.items()
                },
            )
        return news

    def _conclude(self, source_id: str) -> None:
        """Draws conclusions from the evidence and applies them."""
        now_ms = self._clock.steady_ms()
        explanations = self.evidence.conclude(now_ms)
        for explanation in explanations:
            _log_quarantined(
                explanation.keys, len(explanation.crashes), source_id
            )
        if explanations:
            self._notify_listeners()
            self._announce()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _note_sound(
        self, keys: Collection[str], begun_at_ms: float, source_id: str
    ) -> bool:
        """Records a sound answer; returns whether peers should hear of it."""
        now_ms = self._clock.steady_ms()
        news = any(
            self._is_news(key, begun_at_ms)
            for key in self.evidence.suspect_keys(now_ms).intersection(keys)
        )
        for entry in self.evidence.add_sound(keys, begun_at_ms):
            _log_cleared(entry, source_id)
        return news

    def _is_news(self, key: str, begun_at_ms: float) -> bool:
        """Returns whether a sound answer is the first one since a crash."""
        known_ms = self.evidence.sound.begun_at_ms(key)
        if known_ms is None:
            return True
        return known_ms <= self.evidence.last_crash_at_ms(key) < begun_at_ms

    def _take_sound(self) -> None:
        """Records the runs of this entry that turned out to be sound."""
        news = [
            self._note_sound(
                send.keys.all_keys, send.progress.begun_at_ms or 0, ''
            )
            for send in self.tracker.take_sound(self._clock.steady_ms())
        ]
        if any(news):
            self._announce()

    def _announce(self) -> None:
        """Sends the news to the neighbours after a short delay."""
        if self._announcement is None:
            self._announcement = asyncio.get_running_loop().call_later(
                ANNOUNCE_DELAY_MS / MS_PER_S, self._send
            )

    def _send(self) -> None:
        self._announcement = None
        self._told_at_ms = self._clock.steady_ms()
        self._link.send_section(CrashNewsBody)

    def _provide(self) -> CrashNewsBody | None:
        self._take_sound()
        self._conclude('')
        now_ms = self._clock.steady_ms()
        told_ms = now_ms - self._told_at_ms
        if told_ms >= REPEAT_MS:
            self._told_at_ms = now_ms
        elif told_ms > ROUND_MS:
            return None
        return encode_news(self.evidence, now_ms)

    def _consume(self, peer_id: str, news: CrashNewsBody) -> None:
        now_ms = self._clock.steady_ms()
        changes = [
            self._adopt_crash(crash, peer_id)
            for crash in decode_crashes(news.crashes, now_ms)
        ]
        changes.extend(
            self._note_sound([body.key], now_ms - body.age_ms, peer_id)
            for body in news.sound
            if self.evidence.sound.is_later_run(body.key, now_ms - body.age_ms)
        )
        changes.extend(
            self._adopt(entry, peer_id)
            for entry in decode_quarantined(news.quarantined, now_ms)
        )
        if any(changes):
            self._take_sound()
            self._conclude(peer_id)
            self._announce()

    def _adopt_crash(self, crash: Crash, peer_id: str) -> bool:
        news = self._add_crash(crash, 'reported', peer_id)
        if news and self.on_reported is not None:
            self.on_reported(crash.engine)
        return news

    def _adopt(self, entry: QuarantinedKeys, peer_id: str) -> bool:
        news = self.evidence.add_quarantine(entry, self._clock.steady_ms())
        if news:
            _log_quarantined(entry.keys, 0, peer_id)
            self._notify_listeners()
        return news


def _log_quarantined(
    keys: frozenset[str], crashes: int, source_id: str
) -> None:
    log_event(
        Event.KEYS_QUARANTINED,
        keys=sorted(keys),
        crashes=crashes,
        source_id=source_id,
    )


def _log_cleared(entry: QuarantinedKeys, source_id: str) -> None:
    log_event(Event.KEYS_CLEARED, keys=sorted(entry.keys), source_id=source_id)
