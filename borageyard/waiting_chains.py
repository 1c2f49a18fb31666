"""Index of admitted requests by what they wait for."""

from collections.abc import Mapping, Sequence

from .chains import Chain


class WaitingChains:
    """Finds the requests that a plan has to look at.

    Designed for bursts in which hundreds of requests wait: few of them change
    between two plans, and most wait for pieces that are running. Only requests
    that changed are looked at again.
    """

    def __init__(self, chains: dict[str, Chain]) -> None:
        """Creates an index.

        Args:
            chains: The admitted requests by id, at first none. Only the index
                adds and removes them.
        """
        self._chains = chains
        self._count = 0
        # Admission numbers of the requests, by id.
        self._numbers: dict[str, int] = {}
        self._changed: dict[str, Chain] = {}
        self._complete: dict[str, Chain] = {}
        self._startable: dict[str, dict[str, Chain]] = {}

    def add(self, chain: Chain) -> None:
        """Adds a request, and follows its changes from now on.

        Args:
            chain: Request that was admitted after all others.
        """
        self._count += 1
        self._chains[chain.spec.chain_id] = chain
        self._numbers[chain.spec.chain_id] = self._count
        chain.listeners.append(self._note_change)
        self._note_change(chain)

    def pop(self, chain_id: str) -> Chain | None:
        """Removes a request and returns it, or None if it is unknown.

        Args:
            chain_id: Id of the request.
        """
        self._numbers.pop(chain_id, None)
        self._changed.pop(chain_id, None)
        self._complete.pop(chain_id, None)
        for chains in self._startable.values():
            chains.pop(chain_id, None)
        chain = self._chains.pop(chain_id, None)
        if chain is not None:
            chain.note_changed()
        return chain

    def complete(self) -> Sequence[Chain]:
        """Returns the requests without an engine whose stages are all done.

        They are in the order of their admission.
        """
        self._refresh()
        return [
            chain
            for _, chain in self._ordered(self._complete)
            if not chain.granted
        ]

    def startable(self, service: str) -> Mapping[str, Chain]:
        """Returns the requests with pieces that a service could start now.

        Args:
            service: Name of a service.

        Returns:
            The requests by id, in the order of their admission.
        """
        self._refresh()
        return dict(self._ordered(self._startable.get(service, {})))

    def _ordered(
        self, chains: Mapping[str, Chain]
    ) -> Sequence[tuple[str, Chain]]:
        return sorted(chains.items(), key=lambda one: self._numbers[one[0]])

    def _note_change(self, chain: Chain) -> None:
        if chain.spec.chain_id in self._numbers:
            self._changed[chain.spec.chain_id] = chain

    def _refresh(self) -> None:
        for chain_id, chain in self._changed.items():
            self._complete.pop(chain_id, None)
            for chains in self._startable.values():
                chains.pop(chain_id, None)
            if chain.complete:
                self._complete[chain_id] = chain
            for state in chain.startable():
                service = state.stage.service
                self._startable.setdefault(service, {})[chain_id] = chain
        self._changed.clear()
