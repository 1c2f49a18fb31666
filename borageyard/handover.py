"""Lets another entry go on with a request whose entry has died."""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

from .clock import MS_PER_S, Clock
from .document_validation import DocumentError, parse_json
from .errors import ErrorKind, Ran, Refusal
from .generated.peer_handover import (
    HandoverEndBody,
    HandoverJoinBody,
    HandoverOutcomeBody,
    HandoverSaveBody,
    HandoverStartBody,
    HandoverStartedBody,
    KeptStageBody,
)
from .handover_keepers import KEEPER_TIMEOUT_MS, HandoverKeepers
from .peers import PeerError, PeerLink
from .pipeline_interfaces import Outcome
from .requests import (
    AdmittedRequest,
    Answer,
    PipelineRequest,
    StageResult,
    TokenSink,
)
from .target_client import TokenEvent
from .wire import decode_outcome, outcome_payload

FLUSH_MS = 100

Execute = Callable[
    [PipelineRequest, TokenSink | None],
    Awaitable[Outcome],
]


@dataclasses.dataclass(slots=True)
class LocalRun:
    """A request that this entry runs."""

    request: PipelineRequest
    outcome: asyncio.Future[Outcome]
    keepers: tuple[str, ...] = ()
    earlier: HandoverStartedBody | None = None
    version: int = 0
    flushing: bool = False
    offset: int = 0
    tokens: list[str] = dataclasses.field(default_factory=list)

    def save_message(
        self,
        runner: str,
        now_ms: float,
        stages: Sequence[KeptStageBody] = (),
    ) -> HandoverSaveBody:
        """Returns a message that keeps stages and the collected tokens.

        Args:
            runner: This entry.
            now_ms: Steady time.
            stages: Finished stages.
        """
        message = HandoverSaveBody(
            key=self.request.handover_key,
            runner=runner,
            version=self.version,
            left_ms=self.request.expires_at_ms - now_ms,
            stages=list(stages),
            offset=self.offset,
            tokens=self.tokens,
        )
        self.tokens = []
        return message


class HandoverStore:
    """Stage store whose results are kept by a peer."""

    def __init__(
        self,
        keepers: HandoverKeepers,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        """Registers what peers may ask.

        Args:
            keepers: Keep what is finished.
            link: The way to the peers.
            clock: Source of time.
        """
        self._keepers = keepers
        self._own_id = keepers.place.instance_id
        self._link = link
        self._clock = clock
        self._runs: dict[str, LocalRun] = {}
        link.register(HandoverJoinBody, self._answer_join)

    async def run(
        self,
        request: PipelineRequest,
        sink: TokenSink | None,
        execute: Execute,
    ) -> Outcome:
        """Runs a request here, or waits for the entry that runs it.

        Args:
            request: What the caller asked for.
            sink: Where tokens go, if streamed.
            execute: Runs it here.
        """
        if not request.handover_key:
            return await execute(request, sink)
        local = self._runs.get(request.handover_key)
        if local is not None:
            outcome = await self._wait(request, _shielded(local.outcome))
            if outcome is not None:
                return outcome
        loop = asyncio.get_running_loop()
        run = LocalRun(request, loop.create_future())
        async with self._registered(run):
            outcome = await self._join_elsewhere(run)
            if outcome is None:
                recorder = sink and TokenRecorder(self, run, sink)
                outcome = await execute(request, recorder)
            run.outcome.set_result(outcome)
        return outcome

    async def load(self, admitted: AdmittedRequest) -> dict[str, StageResult]:
        """Returns the finished stages of a request by name."""
        run = self._runs.get(admitted.request.handover_key)
        if run is None:
            return {}
        run.version = admitted.configuration.version
        earlier = run.earlier
        if earlier is None or earlier.version != run.version:
            # Stages of another configuration are not mixed in.
            run.earlier = None
            return {}
        if earlier.stages or earlier.tokens:
            self._keepers.counters.resumed += 1
            message = run.save_message(
                self._own_id,
                self._clock.steady_ms(),
                earlier.stages,
            )
            self._keepers.start_background(self._keepers.save(message))
        return {kept.stage: _stage_result(kept) for kept in earlier.stages}

    def tokens(self, admitted: AdmittedRequest) -> tuple[str, ...]:
        """Returns the tokens of the output stage that are known already."""
        run = self._runs.get(admitted.request.handover_key)
        if run is None or run.earlier is None:
            return ()
        return tuple(run.earlier.tokens)

    async def save(
        self,
        admitted: AdmittedRequest,
        result: StageResult,
    ) -> None:
        """Keeps a finished stage."""
        run = self._runs.get(admitted.request.handover_key)
        if run is None:
            return
        idempotent = result.stage not in admitted.non_idempotent_stages
        last = admitted.pipeline.stages[-1].name
        if idempotent and result.stage == last:
            return
        kept = KeptStageBody.model_validate(dataclasses.asdict(result))
        now_ms = self._clock.steady_ms()
        message = run.save_message(self._own_id, now_ms, (kept,))
        if idempotent:
            self._keepers.start_background(self._keepers.save(message))
        else:
            await self._keepers.save(message)

    async def forget(self, admitted: AdmittedRequest) -> None:
        """Leaves it to the end of the run."""

    def note_token(self, run: LocalRun, event: TokenEvent) -> None:
        """Keeps a token of a stream, together with the next ones."""
        if not run.tokens:
            run.offset = event.offset
        run.tokens.append(event.token)
        if not run.flushing:
            run.flushing = self._keepers.start_background(self._flush(run))

    @contextlib.asynccontextmanager
    async def _registered(self, run: LocalRun) -> AsyncIterator[None]:
        key = run.request.handover_key
        self._runs[key] = run
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, run)
            yield

    def _end(self, run: LocalRun) -> None:
        key = run.request.handover_key
        if self._runs.get(key) is run:
            self._runs.pop(key)
        run.outcome.cancel()
        message = HandoverEndBody(
            key=key,
            runner=self._own_id,
            answered=_is_answered(run.outcome),
        )
        for keeper in run.keepers:
            self._keepers.start_background(
                self._keepers.end(keeper, message),
            )

    async def _join_elsewhere(self, run: LocalRun) -> Outcome | None:
        """Waits for the entry that runs the request, if there is one."""
        runner = await self._begin(run, '')
        while runner != self._own_id:
            if not run.request.stream:
                outcome = await self._wait(
                    run.request,
                    self._ask_outcome(runner, run.request),
                )
                if outcome is not None:
                    self._keepers.counters.joined += 1
                    return outcome
            gone = runner
            runner = await self._begin(run, gone)
        return None

    async def _begin(self, run: LocalRun, replaces: str) -> str:
        """Registers this entry as the runner; returns who runs it."""
        key = run.request.handover_key
        message = HandoverStartBody(
            key=key,
            runner=self._own_id,
            left_ms=self._left_ms(run.request),
            replaces=replaces,
        )
        run.keepers = self._keepers.possible(key)
        replies = await asyncio.gather(
            *(self._keepers.start(keeper, message) for keeper in run.keepers),
        )
        known = [reply for reply in replies if reply is not None]
        if not known:
            return self._own_id
        run.earlier = max(known, key=_progress)
        runner: str = known[0].runner
        others = {reply.runner for reply in known[1:]} - {runner}
        if runner == self._own_id and others - {replaces}:
            return await self._begin(run, others.pop())
        return runner

    async def _wait(
        self,
        request: PipelineRequest,
        work: Awaitable[Outcome | None],
    ) -> Outcome | None:
        """Waits for another run no longer than the caller does."""
        left_ms = max(self._left_ms(request), 0)
        try:
            async with asyncio.timeout(left_ms / MS_PER_S):
                outcome = await work
        except TimeoutError:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, ran=Ran.UNKNOWN)
        if isinstance(outcome, Refusal) and outcome.ran is Ran.NOT_RUN:
            return None
        return outcome

    async def _ask_outcome(
        self,
        runner: str,
        request: PipelineRequest,
    ) -> Outcome | None:
        message = HandoverJoinBody(key=request.handover_key)
        try:
            reply = await self._link.request(
                runner,
                message,
                HandoverOutcomeBody,
                self._left_ms(request) + KEEPER_TIMEOUT_MS,
            )
        except PeerError:
            return None
        if not reply.document:
            return None
        with contextlib.suppress(DocumentError):
            return decode_outcome(parse_json(reply.document, 'outcome'))
        return None

    async def _flush(self, run: LocalRun) -> None:
        await asyncio.sleep(FLUSH_MS / MS_PER_S)
        run.flushing = False
        now_ms = self._clock.steady_ms()
        message = run.save_message(self._own_id, now_ms)
        await self._keepers.save(message)

    def _left_ms(self, request: PipelineRequest) -> float:
        return request.expires_at_ms - self._clock.steady_ms()

    async def _answer_join(
        self,
        peer_id: str,
        message: HandoverJoinBody,
    ) -> HandoverOutcomeBody:
        run = self._runs.get(message.key)
        if run is None:
            return HandoverOutcomeBody()
        outcome = await _shielded(run.outcome)
        if outcome is None:
            return HandoverOutcomeBody()
        payload = outcome_payload(run.request.request_id, outcome)
        return HandoverOutcomeBody(document=json.dumps(payload))


class TokenRecorder:
    """Token sink that also keeps the tokens."""

    def __init__(
        self,
        store: HandoverStore,
        run: LocalRun,
        sink: TokenSink,
    ) -> None:
        """Wraps a sink.

        Args:
            store: Keeps tokens.
            run: The request.
            sink: The caller's.
        """
        self._store = store
        self._run = run
        self._sink = sink

    async def send(self, event: TokenEvent) -> None:
        """Hands a token on and keeps it."""
        await self._sink.send(event)
        self._store.note_token(self._run, event)


async def _shielded(outcome: asyncio.Future[Outcome]) -> Outcome | None:
    """Waits for an outcome; returns none if its run was cancelled."""
    await asyncio.wait((outcome,))
    return None if outcome.cancelled() else outcome.result()


def _is_answered(outcome: asyncio.Future[Outcome]) -> bool:
    """Tells whether a run ended with the whole answer."""
    return not outcome.cancelled() and isinstance(outcome.result(), Answer)


def _progress(reply: HandoverStartedBody) -> tuple[int, int, int]:
    return reply.version, len(reply.stages), len(reply.tokens)


def _stage_result(kept: KeptStageBody) -> StageResult:
    return StageResult(**kept.model_dump())
