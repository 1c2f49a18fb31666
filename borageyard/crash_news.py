"""Conversion between evidence about crashes and the messages of peers."""

from collections.abc import Iterable, Sequence

from .answer_progress import AnswerStage
from .crash_attribution import Crash, EngineRun, Suspect
from .crash_evidence import CrashEvidence, QuarantinedKeys
from .generated.peer_crashes import (
    CrashNewsBody,
    CrashSuspectBody,
    EngineCrashBody,
    QuarantinedKeysBody,
    SoundKeyBody,
)
from .request_keys import RequestKeys

# Age up to which crashes are sent: while peers may not know them, and for
# longer if they may add to a conclusion.
NEWS_MS = 1500
RECENT_MS = 20_000
MAX_CRASHES = 8
MAX_SUSPECTS = 4
MAX_SOUND_KEYS = 24
MAX_QUARANTINED = 24


def encode_news(evidence: CrashEvidence, now_ms: float) -> CrashNewsBody | None:
    """Returns what peers should know, or None if there is nothing.

    Args:
        evidence: Evidence of this entry.
        now_ms: Monotonic time.
    """
    unexplained = {crash.engine for crash in evidence.unexplained(now_ms)}
    recent = [
        crash
        for crash in evidence.crashes(now_ms)
        if now_ms - crash.at_ms < _news_ms(crash.engine in unexplained)
    ]
    quarantined = evidence.quarantined(now_ms)
    if not recent and not quarantined:
        return None
    return CrashNewsBody(
        crashes=[
            _encode_crash(crash, now_ms) for crash in recent[-MAX_CRASHES:]
        ],
        sound=_encode_sound(evidence, now_ms),
        quarantined=[
            QuarantinedKeysBody(
                keys=sorted(entry.keys),
                crash_age_ms=_age_ms(entry.crashed_at_ms, now_ms),
                left_ms=round(entry.expires_at_ms - now_ms),
            )
            for entry in quarantined[-MAX_QUARANTINED:]
        ],
    )


def decode_crashes(
    bodies: Iterable[EngineCrashBody], now_ms: float
) -> Sequence[Crash]:
    """Returns the crashes that a peer told of.

    Args:
        bodies: Messages of the peer.
        now_ms: Monotonic time of this entry.
    """
    return [
        Crash(
            EngineRun(body.target_id, body.incarnation),
            now_ms - body.age_ms,
            {
                suspect.request_key: Suspect(
                    RequestKeys(
                        suspect.request_key, frozenset(suspect.part_keys)
                    ),
                    AnswerStage(suspect.stage),
                )
                for suspect in body.suspects
            },
        )
        for body in bodies
    ]


def decode_quarantined(
    bodies: Iterable[QuarantinedKeysBody], now_ms: float
) -> Sequence[QuarantinedKeys]:
    """Returns what a peer has quarantined.

    Args:
        bodies: Messages of the peer.
        now_ms: Monotonic time of this entry.
    """
    return [
        QuarantinedKeys(
            frozenset(body.keys),
            now_ms - body.crash_age_ms,
            now_ms + body.left_ms,
        )
        for body in bodies
    ]


def _news_ms(is_unexplained: bool) -> float:
    return RECENT_MS if is_unexplained else NEWS_MS


def _encode_crash(crash: Crash, now_ms: float) -> EngineCrashBody:
    suspects = sorted(
        crash.foremost,
        key=lambda suspect: (
            suspect.stage is not AnswerStage.BEGUN,
            suspect.keys.request_key,
        ),
    )
    return EngineCrashBody(
        target_id=crash.engine.target_id,
        incarnation=crash.engine.incarnation,
        age_ms=_age_ms(crash.at_ms, now_ms),
        suspects=[
            CrashSuspectBody(
                request_key=suspect.keys.request_key,
                part_keys=sorted(suspect.keys.part_keys),
                stage=suspect.stage.value,
            )
            for suspect in suspects[:MAX_SUSPECTS]
        ],
    )


def _encode_sound(evidence: CrashEvidence, now_ms: float) -> list[SoundKeyBody]:
    """Returns which suspects had sound answers."""
    known = [
        (begun_at_ms, key)
        for key in evidence.suspect_keys(now_ms)
        if (begun_at_ms := evidence.sound.begun_at_ms(key)) is not None
    ]
    known.sort(reverse=True)
    return [
        SoundKeyBody(key=key, age_ms=_age_ms(begun_at_ms, now_ms))
        for begun_at_ms, key in known[:MAX_SOUND_KEYS]
    ]


def _age_ms(at_ms: float, now_ms: float) -> int:
    return max(round(now_ms - at_ms), 0)
