"""Model of entries that claim keys on a faulty log, counting real runs."""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib

from borageyard.backing_services import (
    AppendUnknownError,
    MemoryLog,
    PlatformError,
)
from borageyard.claim_service import ClaimService, ClaimServiceDependencies
from borageyard.clock import MS_PER_S, LoopClock
from borageyard.commands.demo import load_plan
from borageyard.configuration import parse_configuration
from borageyard.detached import DetachedRuns
from borageyard.errors import ErrorKind, Refusal, RefusalError, RunStatus
from borageyard.generated.settings import EntrySettings
from borageyard.memory_peers import MemoryPeerNetwork
from borageyard.requests import AdmittedRequest, Answer, PipelineRequest
from borageyard.standins.memory_log import MemoryLogService
from borageyard.standins.virtual_time import VirtualTimeLoop
from borageyard.tasks import running_tasks

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
NOW_MS = 1_790_000_000_000
WINDOW_MS = 30_000
SKEW_MS = 200
APPEND_S = 0.002
LARGE_TEXT = 'x' * 300
STREAM = 'claims-0'
NO_ADDRESS = '127.0.0.1:1'


class FaultyLog:
    """Log service of one entry with faults for its next appends."""

    def __init__(self, log):
        """Wraps the log shared by all entries."""
        self.faults = collections.deque()
        self.awake = asyncio.Event()
        self.awake.set()
        self._log = log
        self._service = MemoryLogService(log)

    async def append(self, stream, body):
        """Appends a record and applies the next fault, if any."""
        fault = self.faults.popleft() if self.faults else ''
        await asyncio.sleep(APPEND_S)
        if fault == 'drop':
            raise AppendUnknownError(fault)
        if fault.startswith('late'):
            delay_s = float(fault.removeprefix('late'))
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._append_late, stream, body)
            raise AppendUnknownError(fault)
        offset = self._log.append_now(stream, body)
        if fault == 'lose':
            raise AppendUnknownError(fault)
        if fault == 'duplicate':
            self._log.append_now(stream, body)
        await self.awake.wait()
        return offset

    async def read(self, stream, offset, wait_ms=0):
        """Reads records; a paused entry gets the page after its pause."""
        page = await self._service.read(stream, offset, wait_ms)
        await self.awake.wait()
        return page

    def _append_late(self, stream, body):
        with contextlib.suppress(PlatformError):
            self._log.append_now(stream, body)


@dataclasses.dataclass(slots=True)
class Submission:
    """Request of a caller, with its outcome and whether it ran."""

    key: str
    body: str
    run_ms: float
    ending: str
    deadline_ms: float
    ran: bool = False
    outcome: object = None
    task: object = None


class ModelEntry:
    """Entry with a claim service, but no stages or sockets."""

    def __init__(self, model, name, skew_ms):
        """Creates an entry whose clock is off by `skew_ms`."""
        self.name = name
        self.log = FaultyLog(model.log)
        self.runs = DetachedRuns()
        self._model = model
        self._clock = LoopClock(NOW_MS + skew_ms)
        self._stack = contextlib.AsyncExitStack()
        self.claims = ClaimService(
            _settings(name),
            ClaimServiceDependencies(
                log=self.log,
                peers=model.network.join(name),
                clock=self._clock,
                configurations=model,
                list_instances=tuple,
            ),
        )

    async def start(self):
        """Opens the claim log and starts the background work."""
        await self.claims.open()
        work = running_tasks(*self.claims.background())
        await self._stack.enter_async_context(work)

    async def stop(self):
        """Stops the entry without notifying the others."""
        self._model.network.leave(self.name)
        await self.runs.close()
        await self._stack.aclose()

    async def submit(self, submission):
        """Runs a submission and stores its outcome."""
        request = PipelineRequest(
            request_id=f'{id(submission)}',
            pipeline='booking',
            organisation='dispatch',
            body=submission.body,
            expires_at_ms=self._clock.steady_ms() + submission.deadline_ms,
            idempotency_key=submission.key,
        )
        submission.outcome = await self.runs.run(
            self._run(request, submission),
            lambda: self.claims.gate.is_granted(request.request_id),
        )

    async def _run(self, request, submission):
        gate = self.claims.gate
        admitted = AdmittedRequest(request, None, self._model.current())
        try:
            outcome = await gate.recall(admitted)
            if outcome is not None:
                return outcome
            grant = await gate.acquire(admitted)
        except RefusalError as error:
            return error.refusal
        if grant.outcome is not None:
            return grant.outcome
        await self.log.awake.wait()
        outcome = await self._call_target(request, submission)
        if isinstance(outcome, Refusal) and outcome.ran is RunStatus.NOT_RUN:
            await gate.abandon(grant, outcome)
        else:
            await gate.complete(grant, outcome)
        return outcome

    async def _call_target(self, request, submission):
        if self._clock.steady_ms() > request.expires_at_ms:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED)
        if submission.ending == 'not_run':
            return Refusal(ErrorKind.NO_TARGET)
        submission.ran = True
        self._model.runs[submission.key] += 1
        await asyncio.sleep(submission.run_ms / MS_PER_S)
        if submission.ending == 'unknown':
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, ran=RunStatus.UNKNOWN)
        output = {'key': submission.key, 'body': submission.body}
        if submission.ending == 'large':
            output['text'] = LARGE_TEXT
        return Answer(request.request_id, 'booking', 1, output, ())


class ClaimModel:
    """Entries on one log, in virtual time."""

    def __init__(self, entries=3):
        """Starts the entries."""
        self.loop = VirtualTimeLoop()
        self.runs = collections.Counter()
        self.submissions = []
        self._configuration = _configuration()
        self.loop.run_until_complete(self._start(entries))

    def current(self):
        """Returns the configuration in force."""
        return self._configuration

    async def start_entry(self, index):
        """Starts an entry, replacing any earlier one of its index."""
        skew_ms = (index - 1) * SKEW_MS / 2
        self.entries[index] = ModelEntry(self, f'entry-{index}', skew_ms)
        await self.entries[index].start()

    async def kill_entry(self, index):
        """Stops an entry and all requests that it runs."""
        await self.entries[index].stop()

    def advance(self, by_ms):
        """Advances the virtual time."""
        self.loop.run_until_complete(asyncio.sleep(by_ms / MS_PER_S))

    def wall_ms(self):
        """Returns the time of the log's clock in milliseconds."""
        return NOW_MS + self.loop.time() * MS_PER_S

    def log_of(self, index):
        """Returns the log service of an entry."""
        return self.entries[index].log

    def shard_of(self, index):
        """Returns the claim shard of an entry."""
        claims = self.entries[index].claims
        return claims.log.shards[0]

    def replace_entry(self, index):
        """Stops an entry and starts a new one of the same name."""
        self.loop.run_until_complete(self.kill_entry(index))
        self.loop.run_until_complete(self.start_entry(index))

    def checkpoint_if_due(self, index):
        """Writes a checkpoint at an entry if one is due."""
        checkpointing = self.shard_of(index).checkpoint_if_due()
        return self.loop.run_until_complete(checkpointing)

    def keep_newest(self, kept):
        """Expires all but the newest records of the log."""
        kept_from = max(len(self.records()) - kept, 0)
        if kept_from:
            self.log.expire_before(STREAM, self._offset_at(kept_from))

    def records(self):
        """Returns the unexpired records of the log."""
        return self.log._streams.get(STREAM, [])

    def submit(self, index, submission):
        """Sends a submission to an entry."""
        self.submissions.append(submission)
        submission.task = self.loop.create_task(
            self.entries[index].submit(submission),
        )

    def check(self):
        """Asserts that no key ran twice and that all outcomes are true."""
        for key, runs in self.runs.items():
            assert runs <= 1, f'{key} ran {runs} times'
        for submission in self.submissions:
            self._check_outcome(submission)

    def close(self):
        """Stops the entries and closes the event loop."""
        self.loop.run_until_complete(self._stop())
        self.loop.close()

    async def _start(self, entries):
        self.log = MemoryLog(LoopClock(NOW_MS), appends_per_s=10_000)
        self.network = MemoryPeerNetwork()
        self.network.delay_ms = 1
        self.entries = {}
        for index in range(entries):
            await self.start_entry(index)

    def _offset_at(self, place):
        return self.records()[place - 1].offset + 1

    def _check_outcome(self, submission):
        outcome = submission.outcome
        if isinstance(outcome, Refusal):
            assert not (outcome.ran is RunStatus.NOT_RUN and submission.ran)
        if isinstance(outcome, Answer):
            assert outcome.output['key'] == submission.key
            assert outcome.output['body'] == submission.body
            assert self.runs[submission.key] == 1

    async def _stop(self):
        for submission in self.submissions:
            submission.task.cancel()
        for entry in self.entries.values():
            await entry.stop()


def _settings(name):
    return EntrySettings.model_validate(
        {
            'instance_id': name,
            'failure_domain': name,
            'listen_address': NO_ADDRESS,
            'peer_address': NO_ADDRESS,
            'claims': {'inline_bytes': 256, 'retention_ms': 20_000},
            'platform': {
                'log_address': NO_ADDRESS,
                'instances_address': NO_ADDRESS,
                'weights_address': NO_ADDRESS,
            },
        }
    )


def _configuration():
    plan = load_plan('hundaganga', EXAMPLES)
    document = {
        **plan.document,
        'claim_window_ms': WINDOW_MS,
        'clock_skew_ms': SKEW_MS,
    }
    return parse_configuration(document, 1)
