"""Moves requests and the results produced for them between schedulers."""

from collections.abc import Collection, Mapping, Sequence

from .batch_targets import BatchTargets
from .chains import Chain, HandoverResult, PieceId, PieceResult


class ChainHandover:
    """Releases requests to other schedulers, and adopts results from them.

    Designed for a scheduler that crashes, stops or is passed
    over in a burst. Without the handover all pieces of all requests run
    again, while the first results hold their memory until they expire.
    """

    def __init__(self, targets: BatchTargets) -> None:
        """Creates a handover that releases no requests.

        Args:
            targets: State of the batching targets.
        """
        self._targets = targets
        self._released_services: frozenset[str] = frozenset()

    @property
    def released_services(self) -> frozenset[str]:
        """Returns the engine services whose requests are released."""
        return self._released_services

    def release(self, services: Collection[str]) -> None:
        """Sets the engine services whose requests are released.

        Args:
            services: All such services; requests for services that were
                released before and are not among them are kept.
        """
        self._released_services = frozenset(services)

    def is_released(self, chain: Chain) -> bool:
        """Returns whether another entry is to schedule a request."""
        return chain.spec.engine_service in self._released_services

    def scheduled_here(
        self, chains: Mapping[str, Chain]
    ) -> Mapping[str, Chain]:
        """Returns the requests that this scheduler keeps.

        Args:
            chains: All requests, by id.
        """
        if not self._released_services:
            return chains
        return {
            chain_id: chain
            for chain_id, chain in chains.items()
            if not self.is_released(chain)
        }

    def releasable(self, chains: Mapping[str, Chain]) -> Sequence[Chain]:
        """Returns the requests that can be released now.

        Requests with a call in flight stay until its results are in, and
        requests at an engine until it has read its inputs.

        Args:
            chains: All requests, by id.
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
        """Adopts the results that came with a request.

        Results of targets that are gone are skipped; their pieces run again.

        Args:
            chain: A request that is new to this scheduler.
        """
        for handed_result in chain.spec.results:
            target = self._targets.find(handed_result.target_id)
            state = chain.stages.get(handed_result.stage)
            if target is None or state is None:
                continue
            result = PieceResult(
                handed_result.handle,
                handed_result.target_id,
                target.row.address,
                target.row.failure_domain,
                state.stage.result_bytes,
                handed_result.expires_at_ms,
            )
            piece = PieceId(
                chain.spec.chain_id, handed_result.stage, handed_result.number
            )
            if chain.note_result(piece, result):
                target.note_adopted(result)


def handover_results(chain: Chain) -> tuple[HandoverResult, ...]:
    """Returns the results that the next scheduler of a request adopts.

    Args:
        chain: A request without an engine.
    """
    return tuple(
        build_handover_result(
            PieceId(chain.spec.chain_id, number, piece), result
        )
        for number, state in chain.stages.items()
        for piece, result in state.results_by_number.items()
    )


def build_handover_result(
    piece: PieceId, result: PieceResult
) -> HandoverResult:
    """Returns a result in the form that is sent to other schedulers.

    Args:
        piece: The piece.
        result: Its result.
    """
    return HandoverResult(
        piece.stage,
        piece.number,
        result.handle,
        result.target_id,
        result.expires_at_ms,
    )
