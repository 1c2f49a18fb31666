"""Keys of requests and prompt parts that engines answered soundly."""

import collections
from collections.abc import Iterable

# Time for which an answer speaks for its keys against later crashes.
SOUND_MS = 600_000
MAX_KEYS = 8192
# Peers convert ages to times, so what one tells again seems a little later. It
# counts as another run only from this difference on.
CONVERSION_MS = 500


class SoundKeys:
    """Start of the latest run with a sound answer, by key."""

    def __init__(self) -> None:
        """Starts without answers."""
        self._begun_at_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def note(self, keys: Iterable[str], begun_at_ms: float) -> None:
        """Records a run that brought a sound answer.

        Args:
            keys: Keys of the request, or some of them.
            begun_at_ms: Monotonic time at which the run began.
        """
        for key in keys:
            known_ms = self._begun_at_ms.pop(key, begun_at_ms)
            self._begun_at_ms[key] = max(known_ms, begun_at_ms)
            if len(self._begun_at_ms) > MAX_KEYS:
                self._begun_at_ms.popitem(last=False)

    def is_later_run(self, key: str, begun_at_ms: float) -> bool:
        """Returns whether a run that a peer told of is later than the known.

        Args:
            key: Key of a request or of a part.
            begun_at_ms: Monotonic time at which it began.
        """
        known_ms = self._begun_at_ms.get(key)
        return known_ms is None or begun_at_ms > known_ms + CONVERSION_MS

    def begun_at_ms(self, key: str) -> float | None:
        """Returns the start of the latest run, or None without one.

        Args:
            key: Key of a request or of a part.
        """
        return self._begun_at_ms.get(key)

    def is_known(self, key: str, now_ms: float) -> bool:
        """Returns whether a key had a sound answer in the last minutes.

        Args:
            key: Key of a request or of a part.
            now_ms: Monotonic time.
        """
        begun_at_ms = self._begun_at_ms.get(key)
        return begun_at_ms is not None and now_ms - begun_at_ms < SOUND_MS

    def is_known_since(self, key: str, since_ms: float) -> bool:
        """Returns whether a run with a sound answer began later than a time.

        Args:
            key: Key of a request or of a part.
            since_ms: Monotonic time.
        """
        begun_at_ms = self._begun_at_ms.get(key)
        return begun_at_ms is not None and begun_at_ms > since_ms
