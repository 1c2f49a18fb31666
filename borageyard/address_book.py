"""Addresses of entries that a caller keeps."""

from collections.abc import Collection, Iterable, Sequence

# Time in which an address that failed is tried only after the others.
FAILURE_PENALTY_MS = 2000


class AddressBook:
    """Known entries in the order in which they are to be used."""

    def __init__(self, seeds: Iterable[str]) -> None:
        """Starts with addresses from outside.

        Args:
            seeds: Addresses that are asked when no others are known.
        """
        self._seeds = tuple(seeds)
        self._listed: tuple[str, ...] = ()
        self._expires_at_ms: float | None = None
        self._failed_at_ms: dict[str, float] = {}

    def note_entries(
        self,
        addresses: Iterable[str],
        keep_ms: float,
        now_ms: float,
    ) -> None:
        """Takes in an answer of an entry; an empty one changes nothing.

        Args:
            addresses: The best first.
            keep_ms: How long they may be kept.
            now_ms: Steady time at which they were asked for.
        """
        listed = tuple(addresses)
        if listed:
            self._listed = listed
            self._expires_at_ms = now_ms + keep_ms

    def note_failure(self, address: str, now_ms: float) -> None:
        """Takes in that an address did not answer."""
        self._failed_at_ms[address] = now_ms

    def note_success(self, address: str) -> None:
        """Takes in that an address answered."""
        self._failed_at_ms.pop(address, None)

    def is_stale(self, now_ms: float) -> bool:
        """Tells whether an entry has to be asked for addresses."""
        until_ms = self._expires_at_ms
        return until_ms is None or now_ms >= until_ms

    def ordered(self, now_ms: float) -> Sequence[str]:
        """Returns all addresses, those that failed lately last."""
        known = tuple(dict.fromkeys((*self._listed, *self._seeds)))
        return sorted(
            known,
            key=lambda address: self._penalty_ms(address, now_ms),
        )

    def choose(self, tried: Collection[str], now_ms: float) -> str:
        """Returns the address for the next attempt.

        Args:
            tried: Addresses that this request has tried already.
            now_ms: Steady time.
        """
        ordered = self.ordered(now_ms)
        untried = [name for name in ordered if name not in tried]
        return next(iter((*untried, *ordered)))

    def _penalty_ms(self, address: str, now_ms: float) -> float:
        failed_at_ms = self._failed_at_ms.get(address)
        if failed_at_ms is None:
            return 0
        return max(failed_at_ms + FAILURE_PENALTY_MS - now_ms, 0)
