"""Those who wait at a scheduler for the outcome of a request."""

import asyncio

from .plans import ChainRefusal, Denial, Grant

OutcomeFuture = asyncio.Future[Grant | Denial]


class OutcomeWaiters:
    """Waiters by request; each of them gets the outcome.

    A request may arrive again, from a relay, while an earlier arrival waits.
    """

    def __init__(self) -> None:
        """Starts without waiters."""
        self._futures: dict[str, list[OutcomeFuture]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nobody waits."""
        return not self._futures

    def add(self, chain_id: str) -> OutcomeFuture:
        """Returns a future that gets the outcome of a request.

        Args:
            chain_id: Id of the request.
        """
        future: OutcomeFuture = asyncio.get_running_loop().create_future()
        self._futures.setdefault(chain_id, []).append(future)
        return future

    def remove(self, chain_id: str, future: OutcomeFuture) -> None:
        """Removes a waiter.

        Args:
            chain_id: Id of the request.
            future: The future that ``add`` returned.
        """
        futures = self._futures[chain_id]
        futures.remove(future)
        if not futures:
            self._futures.pop(chain_id)

    def count(self, chain_id: str) -> int:
        """Returns the number of those who wait for a request."""
        return len(self._futures.get(chain_id, ()))

    def resolve(self, outcome: Grant | Denial) -> None:
        """Passes an outcome to all who wait for its request."""
        for future in self._futures.get(outcome.chain_id, ()):
            if not future.done():
                future.set_result(outcome)

    def release(self, chain_id: str) -> None:
        """Ends the waits for a request that is no longer scheduled here.

        The news of its end may be older than a wait, so that a waiter that
        still has a caller places it anew.

        Args:
            chain_id: Id of the request.
        """
        self.resolve(Denial(chain_id, ChainRefusal.MOVED, 0))
