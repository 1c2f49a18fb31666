"""Tracks the results of a request at the entry that received it."""

import contextlib
from collections.abc import Iterator, Mapping

from .chain_handover import build_handover_result
from .chain_messages import decode_results, encode_results
from .chains import HandoverResult, PieceId, PieceResult
from .clock import Clock
from .generated.peer_chains import ChainResultsBody, ChainResultsReplyBody
from .peer_notifier import PeerNotifier
from .peers import PeerLink


class ResultTracker:
    """Reports results to peers and tracks requests that this entry received.

    The entry that received a request lives as long as the request does, so
    it is the one that passes the results to the next scheduler.
    """

    def __init__(self, peers: PeerLink, clock: Clock) -> None:
        """Registers the handler for results that peers report.

        Args:
            peers: Streams to the other entries.
            clock: Source of monotonic time.
        """
        self._notifier = PeerNotifier(peers)
        self._clock = clock
        # Ids of the peers that wait for an engine, by request id.
        self._receiver_ids: dict[str, str] = {}
        # Schedulers and results of the requests that this entry received.
        self._schedulers: dict[str, str] = {}
        self._results: dict[str, tuple[HandoverResult, ...]] = {}
        peers.register(ChainResultsBody, self._handle_results)

    @contextlib.contextmanager
    def publishing_to(self, chain_id: str, peer_id: str) -> Iterator[None]:
        """Context manager that reports the results of a request to a peer.

        Args:
            chain_id: Id of the request.
            peer_id: Id of the peer that received the request.
        """
        with contextlib.ExitStack() as stack:
            self._receiver_ids[chain_id] = peer_id
            stack.callback(self._receiver_ids.pop, chain_id, None)
            yield

    def assign_scheduler(self, chain_id: str, scheduler_id: str) -> None:
        """Sets the scheduler of a request that this entry received."""
        self._schedulers[chain_id] = scheduler_id

    def replace_results(
        self,
        chain_id: str,
        results: tuple[HandoverResult, ...],
    ) -> None:
        """Replaces the results of a request that this entry received."""
        self._results[chain_id] = results

    def results_of(self, chain_id: str) -> tuple[HandoverResult, ...]:
        """Returns the results of a request that this entry received."""
        return self._results.get(chain_id, ())

    def forget(self, chain_id: str) -> None:
        """Drops the state of a request that has ended."""
        self._schedulers.pop(chain_id, None)
        self._results.pop(chain_id, None)

    def publish_results(self, results: Mapping[PieceId, PieceResult]) -> None:
        """Reports the results of a call to the peers that wait for them.

        Args:
            results: Results of a call.
        """
        results_by_receiver: dict[str, dict[str, list[HandoverResult]]] = {}
        for piece, result in results.items():
            receiver_id = self._receiver_ids.get(piece.chain_id)
            if receiver_id is not None:
                by_chain = results_by_receiver.setdefault(receiver_id, {})
                chain_results = by_chain.setdefault(piece.chain_id, [])
                chain_results.append(build_handover_result(piece, result))
        for peer_id, peer_results in results_by_receiver.items():
            message = self._encode(peer_results)
            self._notifier.notify(peer_id, message, ChainResultsReplyBody)

    def _encode(
        self,
        results: Mapping[str, list[HandoverResult]],
    ) -> ChainResultsBody:
        now_ms = self._clock.steady_ms()
        return ChainResultsBody(
            results={
                chain_id: encode_results(chain_results, now_ms)
                for chain_id, chain_results in results.items()
            },
        )

    async def _handle_results(
        self,
        peer_id: str,
        message: ChainResultsBody,
    ) -> ChainResultsReplyBody:
        now_ms = self._clock.steady_ms()
        for chain_id, results in message.results.items():
            if self._schedulers.get(chain_id) == peer_id:
                new_results = decode_results(results, now_ms)
                self.replace_results(
                    chain_id,
                    (*self.results_of(chain_id), *new_results),
                )
        return ChainResultsReplyBody()
