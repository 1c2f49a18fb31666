"""Keeps, at the entry that received a request, what was made for it."""

import contextlib
from collections.abc import Iterator, Mapping

from .chain_handover import hand_over
from .chain_messages import decode_results, encode_results
from .chains import HandedResult, PieceId, PieceResult
from .clock import Clock
from .generated.peer_chains import ChainResultsBody, ChainResultsReplyBody
from .peer_notifier import PeerNotifier
from .peers import PeerLink


class ResultKeeper:
    """Tells those who asked what was made, and keeps what is told.

    An entry that received a request lives as long as the request does, so
    that it is the one to hand results to the next scheduler.
    """

    def __init__(self, peers: PeerLink, clock: Clock) -> None:
        """Registers what peers may tell.

        Args:
            peers: The streams to the other entries.
            clock: Source of steady time.
        """
        self._teller = PeerNotifier(peers)
        self._clock = clock
        # Peers that wait for an engine, by request.
        self._askers: dict[str, str] = {}
        # Schedulers of own requests, and what these had made.
        self._schedulers: dict[str, str] = {}
        self._results: dict[str, tuple[HandedResult, ...]] = {}
        peers.register(ChainResultsBody, self._handle_results)

    @contextlib.contextmanager
    def asked(self, chain_id: str, peer_id: str) -> Iterator[None]:
        """Tells a peer what is made for a request while the scope lasts.

        Args:
            chain_id: Id of the request.
            peer_id: The peer that received it.
        """
        with contextlib.ExitStack() as stack:
            self._askers[chain_id] = peer_id
            stack.callback(self._askers.pop, chain_id, None)
            yield

    def expect(self, chain_id: str, scheduler_id: str) -> None:
        """Names the entry that schedules an own request from now on."""
        self._schedulers[chain_id] = scheduler_id

    def keep(self, chain_id: str, results: tuple[HandedResult, ...]) -> None:
        """Replaces what was made for an own request."""
        self._results[chain_id] = results

    def known(self, chain_id: str) -> tuple[HandedResult, ...]:
        """Returns what was made for an own request."""
        return self._results.get(chain_id, ())

    def forget(self, chain_id: str) -> None:
        """Drops what was kept for a request that is over."""
        self._schedulers.pop(chain_id, None)
        self._results.pop(chain_id, None)

    def note_made(self, made: Mapping[PieceId, PieceResult]) -> None:
        """Tells those who asked what a call has made.

        Args:
            made: Results of a call.
        """
        told: dict[str, dict[str, list[HandedResult]]] = {}
        for piece, held in made.items():
            asker_id = self._askers.get(piece.chain_id)
            if asker_id is not None:
                by_chain = told.setdefault(asker_id, {})
                handed = by_chain.setdefault(piece.chain_id, [])
                handed.append(hand_over(piece, held))
        for peer_id, results in told.items():
            message = self._encode(results)
            self._teller.notify(peer_id, message, ChainResultsReplyBody)

    def _encode(
        self,
        results: Mapping[str, list[HandedResult]],
    ) -> ChainResultsBody:
        now_ms = self._clock.steady_ms()
        return ChainResultsBody(
            results={
                chain_id: encode_results(handed, now_ms)
                for chain_id, handed in results.items()
            },
        )

    async def _handle_results(
        self,
        peer_id: str,
        told: ChainResultsBody,
    ) -> ChainResultsReplyBody:
        now_ms = self._clock.steady_ms()
        for chain_id, results in told.results.items():
            if self._schedulers.get(chain_id) == peer_id:
                handed = decode_results(results, now_ms)
                self.keep(chain_id, (*self.known(chain_id), *handed))
        return ChainResultsReplyBody()
