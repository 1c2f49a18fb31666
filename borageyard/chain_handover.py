"""Hands requests with what was made for them from scheduler to scheduler."""

from collections.abc import Collection, Mapping, Sequence

from .batch_targets import BatchTargets
from .chains import Chain, HandoverResult, PieceId, PieceResult


class ChainHandover:
    """Gives up what others schedule, and takes over what others made.

    Answers the load pattern of a scheduler that dies, stops or is passed over
    in a burst: without it all pieces of all requests are made again, while
    the first ones hold their memory until they expire.
    """

    def __init__(self, targets: BatchTargets) -> None:
        """Starts with nothing given up.

        Args:
            targets: Accounts of the batching targets.
        """
        self._targets = targets
        self._released_services: frozenset[str] = frozenset()

    @property
    def released_services(self) -> frozenset[str]:
        """Returns the services of engines whose requests are given up."""
        return self._released_services

    def release(self, services: Collection[str]) -> None:
        """Names the services of engines whose requests are given up.

        Args:
            services: All of them; those named before and not now are kept.
        """
        self._released_services = frozenset(services)

    def is_released(self, chain: Chain) -> bool:
        """Tells whether another entry is to schedule a request.

        One that was passed on by an entry which reaches no better scheduler
        stays.
        """
        order = chain.order
        return (
            order.engine_service in self._released_services
            and not order.passed_over
        )

    def scheduled_here(
        self, chains: Mapping[str, Chain]
    ) -> Mapping[str, Chain]:
        """Returns the requests that are scheduled here.

        Args:
            chains: All requests by id.
        """
        if not self._released_services:
            return chains
        return {
            chain_id: chain
            for chain_id, chain in chains.items()
            if not self.is_released(chain)
        }

    def movable(self, chains: Mapping[str, Chain]) -> Sequence[Chain]:
        """Returns the requests that can be given up now.

        Those with a call under way wait for its results, and those at an
        engine until it has read its inputs.

        Args:
            chains: All requests by id.
        """
        if not self._released_services:
            return ()
        return [
            chain
            for chain in chains.values()
            if self.is_released(chain)
            and not chain.granted
            and not chain.running
        ]

    def adopt_results(self, chain: Chain) -> None:
        """Takes over the results that came with a request.

        Results of targets that are gone are left out and made again.

        Args:
            chain: A request that is new here.
        """
        for handed in chain.order.results:
            target = self._targets.find(handed.target_id)
            state = chain.stages.get(handed.stage)
            if target is None or state is None:
                continue
            made = PieceResult(
                handed.handle,
                handed.target_id,
                target.row.address,
                target.row.failure_domain,
                state.stage.result_bytes,
                handed.expires_at_ms,
            )
            piece = PieceId(chain.order.chain_id, handed.stage, handed.number)
            if chain.note_result(piece, made):
                target.note_adopted(made)


def handover_results(chain: Chain) -> tuple[HandoverResult, ...]:
    """Returns what the next scheduler of a request takes over.

    Args:
        chain: A request without an engine.
    """
    return tuple(
        build_handover_result(
            PieceId(chain.order.chain_id, number, piece), made
        )
        for number, state in chain.stages.items()
        for piece, made in state.made.items()
    )


def build_handover_result(piece: PieceId, made: PieceResult) -> HandoverResult:
    """Returns a result as it is told to others.

    Args:
        piece: The piece.
        made: Its result.
    """
    return HandoverResult(
        piece.stage,
        piece.number,
        made.handle,
        made.target_id,
        made.expires_at_ms,
    )
