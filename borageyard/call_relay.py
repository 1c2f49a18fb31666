"""Makes calls to targets for peers that have no path to them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Mapping

from .clock import Clock
from .fleet_state import FleetState
from .generated.peer_calls import (
    RelayedCallBody,
    RelayedEndBody,
    RelayedEndReplyBody,
    RelayedHeadBody,
    RelayedPartBody,
    RelayedReadBody,
)
from .http_client import AnswerCheck, CallClient, HttpCall, match_unnamed
from .peers import PeerLink
from .relayed_call import RelayedCall
from .target_path_watch import TargetPathWatch

# Returns the check of the answers to a call, given the headers of the call;
# None if its answer names no request.
AnswerCheckFactory = Callable[[Mapping[str, str]], AnswerCheck | None]


class CallRelay:
    """Serves the calls of peers over the connections of this entry.

    It never passes a call on to a third entry.
    """

    def __init__(
        self,
        client: CallClient,
        answer_check: AnswerCheckFactory,
        state: FleetState,
        watch: TargetPathWatch,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        """Registers the handlers for messages of peers.

        Args:
            client: Makes the calls.
            answer_check: Builds the checks of answers.
            state: Holds the target roster.
            watch: Finds out whether this entry has a path to targets.
            link: Link to the other entries.
            clock: Monotonic clock.
        """
        self._client = client
        self._answer_check = answer_check
        self._state = state
        self._watch = watch
        self._paths = watch.paths
        self._clock = clock
        # By ids of the peer and the call.
        self._calls: dict[tuple[str, str], RelayedCall] = {}
        link.register(RelayedCallBody, self._handle_call)
        link.register(RelayedReadBody, self._handle_read)
        link.register(RelayedEndBody, self._handle_end)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Ends all calls on exit."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            yield

    def end_calls(self, peer_id: str) -> None:
        """Ends the calls of a peer whose stream has ended.

        Args:
            peer_id: Id of the peer.
        """
        for key in tuple(self._calls):
            if key[0] == peer_id:
                self._calls.pop(key).cancel()

    async def _handle_call(
        self, peer_id: str, body: RelayedCallBody
    ) -> RelayedHeadBody:
        if self._paths.is_partitioned:
            return self._partitioned()
        if self._has_drained(body.target_id):
            return RelayedHeadBody(failure='the target drains', sent=False)
        call = RelayedCall(self._client, self._build_call(body))
        key = (peer_id, body.call_id)
        self._calls[key] = call
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, key)
            call.start()
            head = await call.wait_head()
            if not head.failure:
                stack.pop_all()
        if head.failure and not head.sent:
            if await self._watch.is_partitioned():
                return self._partitioned()
        return head

    async def _handle_read(
        self, peer_id: str, body: RelayedReadBody
    ) -> RelayedPartBody:
        key = (peer_id, body.call_id)
        call = self._calls.get(key)
        if call is None:
            return RelayedPartBody(content=b'', failure='unknown call')
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, key)
            part = await call.read()
            if part.content:
                stack.pop_all()
        return part

    async def _handle_end(
        self, peer_id: str, body: RelayedEndBody
    ) -> RelayedEndReplyBody:
        self._end((peer_id, body.call_id))
        return RelayedEndReplyBody()

    def _end(self, key: tuple[str, str]) -> None:
        call = self._calls.pop(key, None)
        if call is not None:
            call.cancel()

    def _partitioned(self) -> RelayedHeadBody:
        return RelayedHeadBody(
            failure='no path to targets',
            sent=False,
            partitioned=True,
            reaching_ids=list(
                self._paths.reaching_ids(self._clock.steady_ms())
            ),
        )

    def _has_drained(self, target_id: str) -> bool:
        """Returns whether a target is known here to take no new work."""
        row = self._state.roster.find(target_id)
        return row is not None and self._state.roster.has_drained(row)

    def _build_call(self, body: RelayedCallBody) -> HttpCall:
        answer_check = self._answer_check(body.headers)
        return HttpCall(
            body.address,
            body.method,
            body.path,
            body.body,
            headers=body.headers,
            timeout_ms=body.timeout_ms,
            repeatable=body.repeatable,
            max_body_bytes=body.max_body_bytes or None,
            # Only the peer can tell what an answer without a name belongs to,
            # and one of an earlier build doesn't say what it has sent before.
            reuse=answer_check is not None and bool(body.send_key),
            match_answer=answer_check or match_unnamed,
            send_key=body.send_key,
            target_id=body.target_id,
        )

    async def _close(self) -> None:
        calls = tuple(self._calls.values())
        self._calls.clear()
        await asyncio.gather(*(call.close() for call in calls))
