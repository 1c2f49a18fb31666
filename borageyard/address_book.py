"""Entry addresses cached by a client."""

from collections.abc import Collection, Iterable, Sequence

# After a failure an address is tried only after the others for this time.
FAILURE_PENALTY_MS = 2000


class AddressBook:
    """Entry addresses in the order in which to try them."""

    def __init__(self, seeds: Iterable[str]) -> None:
        """Starts with configured addresses.

        Args:
            seeds: Configured addresses, used until an entry has returned its
                list and tried after the addresses of that list.
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
        """Replaces the addresses by those that an entry returned.

        An empty list is ignored.

        Args:
            addresses: Addresses, the preferred ones first.
            keep_ms: Time to live of the addresses in milliseconds.
            now_ms: Monotonic time of the request for them.
        """
        listed = tuple(addresses)
        if listed:
            self._listed = listed
            self._expires_at_ms = now_ms + keep_ms

    def note_failure(self, address: str, now_ms: float) -> None:
        """Records a failed attempt at an address."""
        self._failed_at_ms[address] = now_ms

    def note_success(self, address: str) -> None:
        """Clears the failure of an address that answered."""
        self._failed_at_ms.pop(address, None)

    def is_stale(self, now_ms: float) -> bool:
        """Returns whether the addresses are missing or have expired."""
        expires_at_ms = self._expires_at_ms
        return expires_at_ms is None or now_ms >= expires_at_ms

    def ordered(self, now_ms: float) -> Sequence[str]:
        """Returns all addresses, those that failed recently last."""
        known = tuple(dict.fromkeys((*self._listed, *self._seeds)))
        return sorted(
            known,
            key=lambda address: self._penalty_ms(address, now_ms),
        )

    def choose(self, tried: Collection[str], now_ms: float) -> str:
        """Returns the address for the next attempt.

        Args:
            tried: Addresses that this request has tried already; they are
                chosen again only if there are no others.
            now_ms: Monotonic time in milliseconds.
        """
        ordered = self.ordered(now_ms)
        untried = [name for name in ordered if name not in tried]
        return next(iter((*untried, *ordered)))

    def _penalty_ms(self, address: str, now_ms: float) -> float:
        failed_at_ms = self._failed_at_ms.get(address)
        if failed_at_ms is None:
            return 0
        return max(failed_at_ms + FAILURE_PENALTY_MS - now_ms, 0)
