"""Requests that one connection has carried."""

import dataclasses

# Number of keys from which expired ones are looked for.
MIN_PRUNED = 64


@dataclasses.dataclass(slots=True)
class SentKeys:
    """Keys of the requests that may still be sent again.

    Designed for servers that write an answer once more: its id tells requests
    apart, but not the sends of one request.
    """

    # Time until which each request may be sent, by key.
    _until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    _prune_at: int = MIN_PRUNED

    def add(self, key: str, now_s: float, until_s: float) -> None:
        """Records a send.

        Args:
            key: Key of the request; empty for calls that are not repeated.
            now_s: Time of the send in seconds.
            until_s: Time after which it is not sent again.
        """
        if not key:
            return
        self._until_s[key] = max(until_s, self._until_s.get(key, 0))
        if len(self._until_s) < self._prune_at:
            return
        self._until_s = {
            sent: sent_until_s
            for sent, sent_until_s in self._until_s.items()
            if sent_until_s > now_s
        }
        self._prune_at = max(2 * len(self._until_s), MIN_PRUNED)

    def has(self, key: str) -> bool:
        """Returns whether a request was sent."""
        return key in self._until_s
