"""What an entry knows of crashes, sound answers and quarantined keys."""

import dataclasses
import functools
import math
from collections.abc import Iterable, Sequence

from .answer_progress import AnswerStage
from .crash_attribution import (
    CRASHES_OF_PARTS,
    CRASHES_OF_REQUEST,
    CRASHES_OF_SOUND_PARTS,
    Crash,
    EngineRun,
    Explanation,
    Suspect,
    count_apart,
    explain_by_parts,
    explain_by_request,
    frequent_parts,
)
from .request_keys import RequestKeys, is_request_key
from .sound_keys import CONVERSION_MS, SoundKeys

# Time for which a crash counts.
EVIDENCE_MS = 60_000
# Time in which entries tell each other of the same crash. Until then requests
# with a head and no event are suspects only, and requests that waited are so
# afterwards if no answer is known that had begun.
SETTLING_MS = 300
QUARANTINE_MS = 300_000
# The same if other requests may have caused the crashes.
SHORT_QUARANTINE_MS = 10_000
# Time after a quarantine in which its requests run one at a time.
PROBATION_MS = 300_000
MAX_CRASHES = 64
MAX_SUSPECTS = 16
MAX_QUARANTINED = 64
# Stages in the order in which an answer passes them.
STAGE_ORDER = tuple(AnswerStage)


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinedKeys:
    """Keys whose requests, if they have all of them, are kept from engines."""

    keys: frozenset[str]
    # Monotonic time of the last crash that they explain.
    crashed_at_ms: float
    expires_at_ms: float

    def covers(self, keys: frozenset[str]) -> bool:
        """Returns whether requests with some keys have all of these.

        Args:
            keys: Keys of a request.
        """
        return self.keys <= keys

    def is_later(self, other: 'QuarantinedKeys') -> bool:
        """Returns whether this is about a later crash or lasts longer.

        Args:
            other: What is known of the same keys.
        """
        return CONVERSION_MS < max(
            self.crashed_at_ms - other.crashed_at_ms,
            self.expires_at_ms - other.expires_at_ms,
        )


class CrashEvidence:
    """Evidence from this entry and its peers, and what follows from it.

    All entries draw the same conclusions from the same evidence. Evidence may
    come in any order and more than once.
    """

    def __init__(self) -> None:
        """Starts without evidence."""
        self._crashes: dict[EngineRun, Crash] = {}
        self.sound = SoundKeys()
        self._quarantined: dict[frozenset[str], QuarantinedKeys] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is or was quarantined."""
        return not self._quarantined

    def crashes(self, now_ms: float) -> Sequence[Crash]:
        """Returns the crashes that still count.

        Args:
            now_ms: Monotonic time.
        """
        return [
            crash
            for crash in self._crashes.values()
            if now_ms - crash.at_ms < EVIDENCE_MS
        ]

    def unexplained(
        self, now_ms: float, *, with_requests: bool = False
    ) -> Sequence[Crash]:
        """Returns the crashes that no quarantined keys explain.

        Args:
            now_ms: Monotonic time.
            with_requests: Whether single requests count as explanations; they
                may share a part with others.
        """
        explaining = [
            keys
            for keys in self._quarantined
            if with_requests or not _is_request(keys)
        ]
        return [
            crash
            for crash in self.crashes(now_ms)
            if not any(_explains(keys, crash) for keys in explaining)
        ]

    def quarantined(self, now_ms: float) -> Sequence[QuarantinedKeys]:
        """Returns what is quarantined or on probation.

        Args:
            now_ms: Monotonic time.
        """
        return [
            entry
            for entry in self._quarantined.values()
            if entry.expires_at_ms + PROBATION_MS > now_ms
        ]

    def find_quarantine(
        self, keys: RequestKeys, now_ms: float
    ) -> QuarantinedKeys | None:
        """Returns the quarantine of a request, or None without one.

        Args:
            keys: Keys of the request.
            now_ms: Monotonic time.
        """
        for entry in self.quarantined(now_ms):
            if entry.covers(keys.all_keys) and entry.expires_at_ms > now_ms:
                return entry
        return None

    def find_probation(
        self, keys: RequestKeys, now_ms: float
    ) -> QuarantinedKeys | None:
        """Returns the former quarantine of a request that is on probation.

        Args:
            keys: Keys of the request.
            now_ms: Monotonic time.
        """
        for entry in self.quarantined(now_ms):
            if entry.covers(keys.all_keys) and entry.expires_at_ms <= now_ms:
                return entry
        return None

    def suspect_keys(self, now_ms: float) -> frozenset[str]:
        """Returns the keys that crashes or quarantines are about.

        Args:
            now_ms: Monotonic time.
        """
        suspects = (
            suspect.keys.all_keys
            for crash in self.crashes(now_ms)
            for suspect in crash.foremost
        )
        return frozenset[str]().union(*suspects, *self._quarantined)

    def last_crash_at_ms(self, key: str) -> float:
        """Returns the time of the last crash that a key may have caused.

        Args:
            key: Key of a request or of a part.
        """
        return max(
            (
                crash.at_ms
                for crash in self._crashes.values()
                if _concerns(key, crash)
            ),
            default=-math.inf,
        )

    def add_crash(self, crash: Crash, now_ms: float) -> bool:
        """Adds a crash, or what another entry knows of the same one.

        Args:
            crash: The crash.
            now_ms: Monotonic time.

        Returns:
            Whether it brought anything new.
        """
        if now_ms - crash.at_ms >= EVIDENCE_MS:
            return False
        known = self._crashes.get(crash.engine)
        merged = _merge_crashes(known, crash) if known else crash
        if known and known.suspects == merged.suspects:
            return False
        self._crashes[crash.engine] = merged
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.pop(next(iter(self._crashes)))
        for entry in tuple(self._quarantined.values()):
            if _explains(entry.keys, merged):
                is_tried = entry.expires_at_ms <= merged.at_ms
                span_ms = _span_ms(self, entry.keys, now_ms, is_tried=is_tried)
                expires_at_ms = max(entry.expires_at_ms, now_ms + span_ms)
                self._quarantine(entry.keys, merged.at_ms, expires_at_ms)
        return True

    def add_sound(
        self, keys: Iterable[str], begun_at_ms: float
    ) -> Sequence[QuarantinedKeys]:
        """Records the start of a run that brought a sound answer.

        Args:
            keys: Keys of the request, or some of them.
            begun_at_ms: Monotonic time at which the run began.

        Returns:
            What is no longer quarantined.
        """
        self.sound.note(keys, begun_at_ms)
        cleared: list[QuarantinedKeys] = []
        for entry in tuple(self._quarantined.values()):
            kept_keys = self._without_sound(entry)
            if kept_keys == entry.keys:
                continue
            self._quarantined.pop(entry.keys)
            if kept_keys:
                self._quarantine(
                    kept_keys, entry.crashed_at_ms, entry.expires_at_ms
                )
            else:
                cleared.append(entry)
        return cleared

    def add_quarantine(self, entry: QuarantinedKeys, now_ms: float) -> bool:
        """Adds what a peer has quarantined.

        Args:
            entry: The keys, and until when.
            now_ms: Monotonic time.

        Returns:
            Whether it brought anything new.
        """
        keys = self._without_sound(entry)
        if not keys or entry.expires_at_ms + PROBATION_MS <= now_ms:
            return False
        known = self._find_covering(keys, now_ms)
        if known is not None and not entry.is_later(known):
            return False
        expires_at_ms = min(entry.expires_at_ms, now_ms + QUARANTINE_MS)
        self._quarantine(keys, entry.crashed_at_ms, expires_at_ms)
        return known is None

    def conclude(self, now_ms: float) -> Sequence[Explanation]:
        """Quarantines the keys that the evidence shows to crash engines.

        Args:
            now_ms: Monotonic time.

        Returns:
            The explanations that are new.
        """
        self._quarantined = {
            entry.keys: entry for entry in self.quarantined(now_ms)
        }
        concluded: list[Explanation] = []
        explanations = self._explain(now_ms)
        while explanations:
            concluded.extend(explanations)
            for explanation in explanations:
                self._quarantine(
                    explanation.keys,
                    explanation.last_at_ms,
                    now_ms + _span_ms(self, explanation.keys, now_ms),
                )
            explanations = self._explain(now_ms)
        return concluded

    def _find_covering(
        self, keys: frozenset[str], now_ms: float
    ) -> QuarantinedKeys | None:
        """Returns what is quarantined of all requests with some keys."""
        for entry in self.quarantined(now_ms):
            if entry.covers(keys):
                return entry
        return None

    def _explain(self, now_ms: float) -> Sequence[Explanation]:
        crashes = self.unexplained(now_ms)
        suspects_of = functools.partial(_suspects_by, now_ms=now_ms)
        return (
            explain_by_parts(
                crashes,
                suspects_of,
                lambda key, _: self.sound.is_known(key, now_ms),
                CRASHES_OF_PARTS,
            )
            or explain_by_parts(
                crashes,
                lambda crash: crash.beginning,
                self._is_ruled_out,
                CRASHES_OF_SOUND_PARTS,
            )
            or explain_by_request(
                self.unexplained(now_ms, with_requests=True),
                lambda crash: crash.beginning or suspects_of(crash),
                self._is_ruled_out,
            )
        )

    def _is_ruled_out(self, key: str, crash: Crash) -> bool:
        return self.sound.is_known_since(key, crash.at_ms)

    def _without_sound(self, entry: QuarantinedKeys) -> frozenset[str]:
        """Returns the keys without a sound answer since the last crash."""
        return frozenset(
            key
            for key in entry.keys
            if not self.sound.is_known_since(key, entry.crashed_at_ms)
        )

    def _quarantine(
        self,
        keys: frozenset[str],
        crashed_at_ms: float,
        expires_at_ms: float,
    ) -> None:
        """Quarantines keys in place of all larger sets of keys."""
        for known_keys, known in tuple(self._quarantined.items()):
            if known_keys < keys and known.expires_at_ms >= expires_at_ms:
                return
            if keys <= known_keys:
                self._quarantined.pop(known_keys)
                crashed_at_ms = max(crashed_at_ms, known.crashed_at_ms)
                expires_at_ms = max(expires_at_ms, known.expires_at_ms)
        self._quarantined[keys] = QuarantinedKeys(
            keys, crashed_at_ms, expires_at_ms
        )
        if len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.pop(next(iter(self._quarantined)))


def _is_request(keys: frozenset[str]) -> bool:
    return any(is_request_key(key) for key in keys)


def _explains(keys: frozenset[str], crash: Crash) -> bool:
    return any(keys <= suspect.keys.all_keys for suspect in crash.foremost)


def _span_ms(
    evidence: CrashEvidence,
    keys: frozenset[str],
    now_ms: float,
    *,
    is_tried: bool = False,
) -> float:
    """Returns for how long to quarantine keys that explain crashes.

    Args:
        evidence: The evidence.
        keys: The keys.
        now_ms: Monotonic time.
        is_tried: Whether a crash came while one request ran at a time.
    """
    crashes = evidence.crashes(now_ms)
    sole = [crash for crash in crashes if crash.is_sole(keys)]
    if _is_request(keys):
        is_certain = len(sole) >= CRASHES_OF_REQUEST
    else:
        explained = [crash for crash in crashes if _explains(keys, crash)]
        # Other parts that several of the requests share may be the cause.
        further = frequent_parts(sole) - keys
        is_certain = all(
            evidence.sound.is_known(part, now_ms) for part in further
        ) and (
            is_tried
            or len(sole) >= CRASHES_OF_PARTS
            or count_apart(explained) >= CRASHES_OF_SOUND_PARTS
        )
    return QUARANTINE_MS if is_certain else SHORT_QUARANTINE_MS


def _concerns(key: str, crash: Crash) -> bool:
    return any(key in suspect.keys.all_keys for suspect in crash.foremost)


def _suspects_by(crash: Crash, now_ms: float) -> Sequence[Suspect]:
    """Returns the suspects of a crash, as far as they are known by now."""
    if now_ms - crash.at_ms < SETTLING_MS:
        return crash.beginning
    return crash.foremost


def _merge_crashes(known: Crash, other: Crash) -> Crash:
    suspects = dict(known.suspects)
    for request_key, suspect in other.suspects.items():
        present = suspects.get(request_key)
        if present is None or _is_later(suspect.stage, present.stage):
            suspects[request_key] = suspect
    return Crash(known.engine, known.at_ms, _limit_suspects(suspects.values()))


def _is_later(stage: AnswerStage, other: AnswerStage) -> bool:
    return STAGE_ORDER.index(stage) > STAGE_ORDER.index(other)


def _limit_suspects(suspects: Iterable[Suspect]) -> dict[str, Suspect]:
    """Returns the suspects that say most, in the same order at all entries."""
    ordered = sorted(
        suspects,
        key=lambda suspect: (
            suspect.stage is AnswerStage.WAITING,
            suspect.keys.request_key,
        ),
    )
    return {
        suspect.keys.request_key: suspect for suspect in ordered[:MAX_SUSPECTS]
    }
