"""HTTP client of targets that calls through peers during a partition."""

import contextlib
from collections.abc import AsyncIterator

from .failure_domains.guarded_client import GuardedClient, WorkCheck
from .http_client import (
    CallClient,
    HttpCall,
    HttpCallError,
    HttpReply,
    StreamedReply,
)
from .peer_calls import PeerCalls
from .target_path_watch import TargetPathWatch


class RelayedClient:
    """Makes calls on connections of its own, or else through a peer.

    A call goes through a peer only if it was certainly not sent before.
    """

    def __init__(self, client: CallClient) -> None:
        """Starts without peers.

        Args:
            client: Makes the calls of this entry.
        """
        self.own = GuardedClient(client)
        self._watch: TargetPathWatch | None = None
        self._peer_calls: PeerCalls | None = None

    def join(self, watch: TargetPathWatch, peer_calls: PeerCalls) -> None:
        """Connects it to the peers.

        Args:
            watch: Finds out whether this entry has a path to targets.
            peer_calls: Makes calls through peers.
        """
        self._watch = watch
        self._peer_calls = peer_calls

    def guard(self, check: WorkCheck) -> None:
        """Checks new work right before this entry sends it.

        Args:
            check: Returns why a target must not get work now.
        """
        self.own.check = check

    async def request(self, call: HttpCall) -> HttpReply:
        """Sends a request and waits for the complete response.

        Raises:
            HttpCallError: If no complete response arrived in time.
        """
        async with self.stream(call) as reply:
            status, headers, chunks = reply
            body = b''.join([chunk async for chunk in chunks])
            return HttpReply(status, headers, body)

    @contextlib.asynccontextmanager
    async def stream(self, call: HttpCall) -> AsyncIterator[StreamedReply]:
        """Sends a request; the response body is read as it arrives.

        Raises:
            HttpCallError: If the exchange failed or took too long.
        """
        async with contextlib.AsyncExitStack() as stack:
            yield await self._open(call, stack)

    async def _open(
        self, call: HttpCall, stack: contextlib.AsyncExitStack
    ) -> StreamedReply:
        """Makes a call on the best path.

        Raises:
            HttpCallError: If it failed.
        """
        watch = self._watch
        peer_calls = self._peer_calls
        if watch is None or peer_calls is None:
            return await stack.enter_async_context(self.own.stream(call))
        was_partitioned = watch.paths.is_partitioned
        if not was_partitioned and not call.through_peer:
            opened = await self._open_directly(call, stack, watch)
            if opened is not None:
                return opened
        opened = await peer_calls.open(call, stack)
        if opened is not None:
            return opened
        if call.through_peer or not was_partitioned:
            raise HttpCallError('no path to targets', sent=False)
        # If nobody has a path the targets may have been down.
        opened = await stack.enter_async_context(self.own.stream(call))
        watch.note_reached()
        return opened

    async def _open_directly(
        self,
        call: HttpCall,
        stack: contextlib.AsyncExitStack,
        watch: TargetPathWatch,
    ) -> StreamedReply | None:
        """Makes a call on a connection of its own; None without a path.

        Raises:
            HttpCallError: If it failed although there is a path, or may have
                been sent.
        """
        try:
            return await stack.enter_async_context(self.own.stream(call))
        except HttpCallError as error:
            if error.sent or not await watch.is_partitioned():
                raise
        return None
