"""Lets another entry resume a request whose entry was lost."""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

from .clock import MS_PER_S, Clock
from .document_validation import DocumentError, parse_json
from .errors import ErrorKind, Refusal, RunStatus
from .generated.peer_handover import (
    HandoverEndBody,
    HandoverJoinBody,
    HandoverOutcomeBody,
    HandoverSaveBody,
    HandoverStartBody,
    HandoverStartedBody,
    KeptStageBody,
)
from .handover_backups import BACKUP_TIMEOUT_MS, HandoverBackups
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

FLUSH_DELAY_MS = 100

ExecuteRequest = Callable[
    [PipelineRequest, TokenSink | None],
    Awaitable[Outcome],
]


@dataclasses.dataclass(slots=True)
class LocalRun:
    """A request that this entry runs, with its tokens not yet saved."""

    request: PipelineRequest
    outcome: asyncio.Future[Outcome]
    backups: tuple[str, ...] = ()
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
        """Returns a message that saves stages and the buffered tokens.

        The buffer of tokens is empty afterwards.

        Args:
            runner: Instance id of this entry.
            now_ms: Monotonic time in milliseconds.
            stages: Finished stages to save.
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
    """Stage store that saves results at a backup peer."""

    def __init__(
        self,
        backups: HandoverBackups,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        """Registers the handler of requests to join a run.

        Args:
            backups: Save finished stages and tokens at peers.
            link: Link to the peers.
            clock: Source of time.
        """
        self._backups = backups
        self._own_id = backups.topology.instance_id
        self._link = link
        self._clock = clock
        self._runs: dict[str, LocalRun] = {}
        link.register(HandoverJoinBody, self._handle_join)

    async def run(
        self,
        request: PipelineRequest,
        sink: TokenSink | None,
        execute: ExecuteRequest,
    ) -> Outcome:
        """Runs a request here, or waits for the entry that already runs it.

        Args:
            request: The request of the caller.
            sink: Receives tokens if the answer is streamed.
            execute: Runs the request in this entry.

        Returns:
            The outcome of the run, here or at the other entry.
        """
        if not request.handover_key:
            return await execute(request, sink)
        local = self._runs.get(request.handover_key)
        if local is not None:
            outcome = await self._wait_for_run(
                request, _shielded(local.outcome)
            )
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
        """Returns the finished stages of a request by name.

        Args:
            admitted: The request, with the configuration it runs under.
        """
        run = self._runs.get(admitted.request.handover_key)
        if run is None:
            return {}
        run.version = admitted.configuration.version
        earlier = run.earlier
        if earlier is None or earlier.version != run.version:
            # Results of another configuration must not be mixed in.
            run.earlier = None
            return {}
        if earlier.stages or earlier.tokens:
            self._backups.counters.resumed += 1
            message = run.save_message(
                self._own_id,
                self._clock.steady_ms(),
                earlier.stages,
            )
            self._backups.start_background(self._backups.save(message))
        return {kept.stage: _stage_result(kept) for kept in earlier.stages}

    def tokens(self, admitted: AdmittedRequest) -> tuple[str, ...]:
        """Returns the tokens of the output stage that an earlier run generated.

        Args:
            admitted: The request.
        """
        run = self._runs.get(admitted.request.handover_key)
        if run is None or run.earlier is None:
            return ()
        return tuple(run.earlier.tokens)

    async def save(
        self,
        admitted: AdmittedRequest,
        result: StageResult,
    ) -> None:
        """Saves a finished stage at the backup.

        Waits for the backup only after a stage that is not idempotent. An
        idempotent last stage is not saved.

        Args:
            admitted: The request.
            result: Result of the stage.
        """
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
            self._backups.start_background(self._backups.save(message))
        else:
            await self._backups.save(message)

    async def forget(self, admitted: AdmittedRequest) -> None:
        """Does nothing; the end of the run frees the saved stages."""

    def record_token(self, run: LocalRun, event: TokenEvent) -> None:
        """Buffers a token of a stream, to be saved with the next ones.

        Args:
            run: The run that generated the token.
            event: The token.
        """
        if not run.tokens:
            run.offset = event.offset
        run.tokens.append(event.token)
        if not run.flushing:
            run.flushing = self._backups.start_background(self._flush(run))

    @contextlib.asynccontextmanager
    async def _registered(self, run: LocalRun) -> AsyncIterator[None]:
        key = run.request.handover_key
        self._runs[key] = run
        with contextlib.ExitStack() as stack:
            stack.callback(self._finish_run, run)
            yield

    def _finish_run(self, run: LocalRun) -> None:
        key = run.request.handover_key
        if self._runs.get(key) is run:
            self._runs.pop(key)
        run.outcome.cancel()
        message = HandoverEndBody(
            key=key,
            runner=self._own_id,
            answered=_is_answered(run.outcome),
        )
        for backup in run.backups:
            self._backups.start_background(
                self._backups.end(backup, message),
            )

    async def _join_elsewhere(self, run: LocalRun) -> Outcome | None:
        """Waits for the entry that already runs the request.

        Returns:
            Its outcome; None if this entry has to run the request.
        """
        runner = await self._register_runner(run, '')
        while runner != self._own_id:
            if not run.request.stream:
                outcome = await self._wait_for_run(
                    run.request,
                    self._request_outcome(runner, run.request),
                )
                if outcome is not None:
                    self._backups.counters.joined += 1
                    return outcome
            lost_runner = runner
            runner = await self._register_runner(run, lost_runner)
        return None

    async def _register_runner(self, run: LocalRun, replaces: str) -> str:
        """Registers this entry as the runner of a request.

        Args:
            run: The run of this entry.
            replaces: Runner that this entry replaces; empty if there is none.

        Returns:
            Instance id of the entry that runs the request.
        """
        key = run.request.handover_key
        message = HandoverStartBody(
            key=key,
            runner=self._own_id,
            left_ms=self._remaining_ms(run.request),
            replaces=replaces,
        )
        run.backups = self._backups.candidates(key)
        replies = await asyncio.gather(
            *(self._backups.start(backup, message) for backup in run.backups),
        )
        received = [reply for reply in replies if reply is not None]
        if not received:
            return self._own_id
        run.earlier = max(received, key=_progress_key)
        runner: str = received[0].runner
        others = {reply.runner for reply in received[1:]} - {runner}
        if runner == self._own_id and others - {replaces}:
            return await self._register_runner(run, others.pop())
        return runner

    async def _wait_for_run(
        self,
        request: PipelineRequest,
        work: Awaitable[Outcome | None],
    ) -> Outcome | None:
        """Waits for another run, at most until the request expires.

        Returns:
            The outcome; None if the other run ended without one, or with a
            refusal before any stage ran.
        """
        remaining_ms = max(self._remaining_ms(request), 0)
        try:
            async with asyncio.timeout(remaining_ms / MS_PER_S):
                outcome = await work
        except TimeoutError:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, ran=RunStatus.UNKNOWN)
        if isinstance(outcome, Refusal) and outcome.ran is RunStatus.NOT_RUN:
            return None
        return outcome

    async def _request_outcome(
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
                self._remaining_ms(request) + BACKUP_TIMEOUT_MS,
            )
        except PeerError:
            return None
        if not reply.document:
            return None
        with contextlib.suppress(DocumentError):
            return decode_outcome(parse_json(reply.document, 'outcome'))
        return None

    async def _flush(self, run: LocalRun) -> None:
        await asyncio.sleep(FLUSH_DELAY_MS / MS_PER_S)
        run.flushing = False
        now_ms = self._clock.steady_ms()
        message = run.save_message(self._own_id, now_ms)
        await self._backups.save(message)

    def _remaining_ms(self, request: PipelineRequest) -> float:
        return request.expires_at_ms - self._clock.steady_ms()

    async def _handle_join(
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
    """Token sink that also saves the tokens."""

    def __init__(
        self,
        store: HandoverStore,
        run: LocalRun,
        sink: TokenSink,
    ) -> None:
        """Wraps the sink of a caller.

        Args:
            store: Saves the tokens.
            run: Run that generates the tokens.
            sink: Sink of the caller.
        """
        self._store = store
        self._run = run
        self._sink = sink

    async def send(self, event: TokenEvent) -> None:
        """Forwards a token to the caller, then saves it."""
        await self._sink.send(event)
        self._store.record_token(self._run, event)


async def _shielded(outcome: asyncio.Future[Outcome]) -> Outcome | None:
    """Waits for an outcome; returns None if its run was cancelled.

    Cancelling the wait does not cancel the run.
    """
    await asyncio.wait((outcome,))
    return None if outcome.cancelled() else outcome.result()


def _is_answered(outcome: asyncio.Future[Outcome]) -> bool:
    """Returns whether a run ended with the complete answer."""
    return not outcome.cancelled() and isinstance(outcome.result(), Answer)


def _progress_key(reply: HandoverStartedBody) -> tuple[int, int, int]:
    return reply.version, len(reply.stages), len(reply.tokens)


def _stage_result(kept: KeptStageBody) -> StageResult:
    return StageResult(**kept.model_dump())
