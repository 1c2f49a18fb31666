"""Calls to targets that peers make for this entry."""

import contextlib
from collections.abc import AsyncIterator, Collection

from .clock import MS_PER_S, Clock
from .events import Event, log_event
from .generated.peer_calls import (
    RelayedCallBody,
    RelayedEndBody,
    RelayedEndReplyBody,
    RelayedHeadBody,
    RelayedPartBody,
    RelayedReadBody,
)
from .http_client import HttpCall, HttpCallError, StreamedReply
from .identifiers import new_identifier
from .peer_notifier import PeerNotifier
from .peers import PeerError, PeerLink
from .sent_keys import SentKeys
from .target_paths import TargetPaths

# Peers that are asked to make one call; those without a path say so at once.
MAX_PEERS_ASKED = 12


class PeerCalls:
    """Makes calls through peers that have a path to targets."""

    def __init__(
        self, paths: TargetPaths, link: PeerLink, clock: Clock
    ) -> None:
        """Stores the dependencies.

        Args:
            paths: Ranks the peers.
            link: Link to the other entries.
            clock: Monotonic clock.
        """
        self._paths = paths
        self._link = link
        self._clock = clock
        self._notifier = PeerNotifier(link)
        # Requests that peers of earlier builds were asked to send: these may
        # take a copy of the first answer for the answer to a second send.
        self._sent_keys: dict[str, SentKeys] = {}

    async def open(
        self, call: HttpCall, stack: contextlib.AsyncExitStack
    ) -> StreamedReply | None:
        """Makes a call through the first peer that has a path.

        Args:
            call: The call.
            stack: Ends the call on exit.

        Returns:
            The answer, or None if no peer has a path.

        Raises:
            HttpCallError: If the call failed at a peer.
        """
        asked = {
            peer_id
            for peer_id, sent_keys in self._sent_keys.items()
            if sent_keys.has(call.send_key)
        }
        most_asked = len(asked) + MAX_PEERS_ASKED
        while len(asked) < most_asked:
            peer_id = self._choose_peer(asked)
            if peer_id is None:
                break
            asked.add(peer_id)
            relayed = _PeerCall(self._link, peer_id, call)
            # It may have arrived at the peer even if there is no reply.
            stack.callback(self._end, relayed)
            head = await self._ask(relayed)
            if head is not None:
                self._note_answer(peer_id, call, head)
                return head.status, head.headers, relayed.read()
        return None

    def _note_answer(
        self, peer_id: str, call: HttpCall, head: RelayedHeadBody
    ) -> None:
        if head.keeps_sends_apart:
            self._sent_keys.pop(peer_id, None)
            return
        now_s = self._clock.steady_ms() / MS_PER_S
        until_s = now_s + call.timeout_ms / MS_PER_S
        sent_keys = self._sent_keys.setdefault(peer_id, SentKeys())
        sent_keys.add(call.send_key, now_s, until_s)

    def _choose_peer(self, asked: Collection[str]) -> str | None:
        """Returns the next peer to ask, which an earlier one may have named."""
        remaining = set(self._link.peer_ids()).difference(asked)
        ranked = self._paths.rank_peers(remaining, self._clock.steady_ms())
        return ranked[0] if ranked else None

    async def _ask(self, relayed: '_PeerCall') -> RelayedHeadBody | None:
        """Returns the head of an answer, or None if the peer has no path.

        Raises:
            HttpCallError: If there is none, and the peer has a path or may
                have made the call.
        """
        peer_id = relayed.peer_id
        try:
            head = await relayed.open()
        except PeerError as error:
            relayed.log_failure(error)
            self._paths.note_cut(peer_id, (), self._clock.steady_ms())
            if error.sent:
                raise HttpCallError(str(error), sent=True) from error
            return None
        now_ms = self._clock.steady_ms()
        if head.partitioned:
            self._paths.note_cut(peer_id, head.reaching_ids, now_ms)
            return None
        self._paths.note_reaching(peer_id, now_ms)
        if head.failure:
            raise HttpCallError(head.failure, sent=head.sent)
        return head

    def _end(self, relayed: '_PeerCall') -> None:
        """Tells the peer that a call is of no use any more."""
        if relayed.is_open:
            self._notifier.notify(
                relayed.peer_id,
                RelayedEndBody(call_id=relayed.call_id),
                RelayedEndReplyBody,
            )


class _PeerCall:
    """One call through one peer."""

    def __init__(self, link: PeerLink, peer_id: str, call: HttpCall) -> None:
        self.peer_id = peer_id
        self.call_id = new_identifier()
        # Whether the peer may be making the call.
        self.is_open = False
        self._link = link
        self._call = call

    async def open(self) -> RelayedHeadBody:
        """Returns the head of the answer, or why there is none.

        Raises:
            PeerError: If the peer did not reply.
        """
        call = self._call
        call.trace.peer_id = self.peer_id
        self.is_open = True
        head = await self._link.request(
            self.peer_id,
            RelayedCallBody(
                call_id=self.call_id,
                address=call.address,
                target_id=call.target_id,
                method=call.method,
                path=call.path,
                headers=dict(call.headers),
                body=call.body,
                timeout_ms=call.timeout_ms,
                repeatable=call.repeatable,
                max_body_bytes=call.max_body_bytes or 0,
                send_key=call.send_key,
            ),
            RelayedHeadBody,
            call.timeout_ms,
        )
        self.is_open = not head.failure
        return head

    async def read(self) -> AsyncIterator[bytes]:
        """Yields the body of the answer.

        Raises:
            HttpCallError: If it is incomplete or too large.
        """
        size_bytes = 0
        content = await self._read_part()
        while content:
            size_bytes += len(content)
            max_bytes = self._call.max_body_bytes
            if max_bytes and size_bytes > max_bytes:
                raise HttpCallError('response is too large', sent=True)
            yield content
            content = await self._read_part()

    def log_failure(self, error: PeerError) -> None:
        """Logs that the peer did not reply."""
        log_event(
            Event.RELAYED_CALL_FAILED,
            peer_id=self.peer_id,
            address=self._call.address,
            sent=error.sent,
            reason=str(error),
        )

    async def _read_part(self) -> bytes:
        """Returns the next part of the body; empty after the last one."""
        try:
            part = await self._link.request(
                self.peer_id,
                RelayedReadBody(call_id=self.call_id),
                RelayedPartBody,
                self._call.timeout_ms,
            )
        except PeerError as error:
            self.log_failure(error)
            raise HttpCallError(str(error), sent=True) from error
        # The peer forgets the call with its last part.
        self.is_open = bool(part.content)
        if part.failure:
            raise HttpCallError(part.failure, sent=True)
        return part.content
