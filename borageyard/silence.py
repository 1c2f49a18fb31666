"""Decides when another engine is asked for a stream that is silent."""

from .serving_configuration import ServiceRoute

# Callers disconnect from a stream after a silence of two seconds, four times
# its target latency or eight times its longest gap, whichever is longest.
MIN_CALLER_TIMEOUT_MS = 2000
CALLER_TIMEOUT_LATENCY_FACTOR = 4
CALLER_TIMEOUT_GAP_FACTOR = 8
# Part of that time after which another engine is asked for the first event,
# and for a later one. Engines may need long for the first one.
FIRST_EVENT_SHARE = 0.75
NEXT_EVENT_SHARE = 0.5
# Sound engines may be silent for about a second.
SHORT_SILENCE_MS = 1500
# Silence, in multiples of the longest gap between events, after which another
# engine is asked if the present one is no longer listed.
UNLISTED_GAPS = 3


def caller_timeout_ms(route: ServiceRoute) -> float:
    """Returns the silence after which callers disconnect, in ms.

    Args:
        route: Route of the stream.
    """
    return max(
        MIN_CALLER_TIMEOUT_MS,
        CALLER_TIMEOUT_LATENCY_FACTOR * route.target_latency_ms,
        CALLER_TIMEOUT_GAP_FACTOR * route.target_event_gap_ms,
    )


def unlisted_after_ms(route: ServiceRoute) -> float:
    """Returns the silence after which an unlisted engine is replaced, in ms.

    Args:
        route: Route of the stream.
    """
    gap_ms = route.target_event_gap_ms
    return UNLISTED_GAPS * gap_ms if gap_ms else SHORT_SILENCE_MS


def ask_after_ms(
    route: ServiceRoute, left_ms: float, *, begun: bool, listed: bool
) -> float:
    """Returns the silence after which another engine is asked, in ms.

    Args:
        route: Route of the stream.
        left_ms: Time from the start of the silence to the deadline.
        begun: Whether the caller has received events.
        listed: Whether the roster lists the engine that is silent.
    """
    if not listed:
        return unlisted_after_ms(route)
    patience_ms = caller_timeout_ms(route)
    if not begun:
        return FIRST_EVENT_SHARE * patience_ms
    share_ms = NEXT_EVENT_SHARE * min(patience_ms, left_ms)
    return max(SHORT_SILENCE_MS, share_ms)
