"""Experiment: latency and throughput of claims, start time of an entry."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import statistics
import time
import types
from collections.abc import Mapping, Sequence
from typing import Any

from ..backing_services import MemoryLog
from ..claim_service import ClaimService, ClaimServiceDependencies
from ..clock import MS_PER_S, LoopClock
from ..configuration import Configuration, parse_configuration
from ..generated.settings import ClaimsSettings, EntrySettings
from ..identifiers import identifier_at
from ..memory_peers import MemoryPeerNetwork
from ..requests import AdmittedRequest, Answer, PipelineRequest
from ..standins.memory_log import MemoryLogService
from ..standins.virtual_time import run_virtual
from ..tasks import running_tasks
from .report import BenchReport, Bound

ENTRIES = 5
EPOCH_MS = 1_790_000_000_000
ROUND_TRIP_MS = 5
APPENDS_PER_S = 300
APPEND_BUDGET_PER_S = 250
DEADLINE_MS = 60_000
WARM_UP_S = 6
RUN_S = 4
COMMIT_WINDOWS_MS = (0, 1, 5, 20)
RATES_PER_S = (10, 100, 1000)
BURST_CLAIMS = 30_000
BASELINE_BURST_CLAIMS = 1000
EXISTING_CLAIMS = (0, 10_000, 100_000)
EXISTING_BATCH_CLAIMS = 100
EXISTING_SPAN_S = 590
MAX_ROUND_TRIPS = 2
# Index of the median among the 99 percentile cut points.
MEDIAN_INDEX = 49
KEY_RANDOM_BITS = 74
UNUSED_ADDRESS = '127.0.0.1:1'
DOCUMENT: Mapping[str, Any] = types.MappingProxyType(
    {
        'format': 1,
        'organisations': {'bench': {}},
        'services': {'desk': {'kind': 'plain', 'idempotent': False}},
        'pipelines': {
            'book': {'stages': [{'name': 'desk', 'service': 'desk'}]}
        },
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class FixedConfiguration:
    """Provides a configuration that never changes."""

    configuration: Configuration

    def current(self) -> Configuration | None:
        """Returns the configuration."""
        return self.configuration


class ClaimBench:
    """Entries that only claim keys, sharing one log in virtual time."""

    def __init__(self, seed: int, claims: ClaimsSettings) -> None:
        """Creates a log without entries.

        Args:
            seed: Seed of arrival times, chosen entries and keys.
            claims: Claim settings of all entries.
        """
        self.clock = LoopClock(EPOCH_MS)
        self.log = MemoryLog(self.clock, appends_per_s=APPENDS_PER_S)
        self.log.faults.delay_ms = ROUND_TRIP_MS
        self.services: list[ClaimService] = []
        self._claims = claims
        self._network = MemoryPeerNetwork()
        self._random = random.Random(seed)
        self._configurations = FixedConfiguration(
            parse_configuration(dict(DOCUMENT), 1),
        )

    async def start_entry(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts an entry that has not read the claim stream yet.

        Args:
            stack: Owns the entry's background tasks.
        """
        name = f'entry-{len(self.services)}'
        service = ClaimService(
            _entry_settings(name, self._claims),
            ClaimServiceDependencies(
                log=MemoryLogService(self.log),
                peers=self._network.join(name),
                clock=self.clock,
                configurations=self._configurations,
                list_instances=tuple,
            ),
        )
        self.services.append(service)
        await service.open()
        await stack.enter_async_context(running_tasks(*service.background()))

    async def claim(self, index: int) -> float:
        """Claims a new key at an entry and completes the attempt.

        Args:
            index: Index of the entry.

        Returns:
            How long the caller's request waited for its claim, in
            milliseconds.
        """
        started_ms = self.clock.steady_ms()
        admitted = self._build_request()
        gate = self.services[index].gate
        grant = await gate.acquire(admitted)
        waited_ms = self.clock.steady_ms() - started_ms
        answer = Answer(admitted.request.request_id, 'book', 1, {}, ())
        await gate.complete(grant, answer)
        return waited_ms

    async def offer(self, rate_per_s: float, run_s: float) -> list[float]:
        """Sends claims to random entries at random times.

        Args:
            rate_per_s: Mean rate of claims.
            run_s: Duration of the load, in seconds.

        Returns:
            The wait of each claim, in milliseconds.
        """
        tasks = []
        ends_ms = self.clock.steady_ms() + run_s * MS_PER_S
        while self.clock.steady_ms() < ends_ms:
            await asyncio.sleep(self._random.expovariate(rate_per_s))
            index = self._random.randrange(len(self.services))
            tasks.append(asyncio.ensure_future(self.claim(index)))
        return list(await asyncio.gather(*tasks))

    async def append_existing_claims(self, claims: int) -> None:
        """Fills the claim window with claims of earlier requests.

        Args:
            claims: Number of claims, spread evenly over the window.
        """
        batches = claims // EXISTING_BATCH_CLAIMS
        for _ in range(batches):
            await asyncio.sleep(EXISTING_SPAN_S / batches)
            self.log.append_now('claims-0', self._build_batch())

    def _build_batch(self) -> dict[str, Any]:
        keys = [self._new_key() for _ in range(EXISTING_BATCH_CLAIMS)]
        claims = [
            {
                'key': key,
                'attempt_id': f'{key}-1',
                'digest': key,
                'holder': 'entry-9',
            }
            for key in keys
        ]
        return {'batch_id': self._new_key(), 'claims': claims}

    def _build_request(self) -> AdmittedRequest:
        configuration = self._configurations.configuration
        request = PipelineRequest(
            request_id=self._new_key(),
            pipeline='book',
            organisation='bench',
            body={},
            expires_at_ms=self.clock.steady_ms() + DEADLINE_MS,
            idempotency_key=self._new_key(),
        )
        pipeline = configuration.pipelines['book']
        return AdmittedRequest(request, pipeline, configuration)

    def _new_key(self) -> str:
        random_bits = self._random.getrandbits(KEY_RANDOM_BITS)
        return identifier_at(int(self.clock.wall_ms()), random_bits)


def run_claims(seed: int) -> BenchReport:
    """Measures latency and throughput of claims and the start of an entry.

    Args:
        seed: Seed of arrival times, chosen entries and keys.
    """
    figures = {
        'round_trip_ms': ROUND_TRIP_MS,
        **_latency_figures(seed),
        **_throughput_figures(seed),
        **_start_figures(seed),
    }
    return BenchReport('claims', seed, figures, _bounds())


def _bounds() -> tuple[Bound, ...]:
    window_ms = int(ClaimsSettings().commit_window_ms)
    prefix = f'window_{window_ms}ms_rate'
    waits = (
        Bound(f'{prefix}_{rate}_p50_round_trips', MAX_ROUND_TRIPS)
        for rate in RATES_PER_S
    )
    starts = (
        Bound(f'start_ms_{existing}_held', MS_PER_S)
        for existing in EXISTING_CLAIMS
    )
    return (*waits, *starts)


def _latency_figures(seed: int) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for window_ms, rate in itertools.product(COMMIT_WINDOWS_MS, RATES_PER_S):
        settings = _claims_settings(commit_window_ms=window_ms)
        waits = run_virtual(_measure_waits(seed, settings, rate))
        name = f'window_{window_ms}ms_rate_{rate}'
        figures |= _wait_figures(name, waits)
    return figures


def _throughput_figures(seed: int) -> dict[str, Any]:
    grouped = _claims_settings()
    single = _claims_settings(batch_items=1)
    return {
        'claims_per_s': run_virtual(
            _measure_burst(seed, grouped, BURST_CLAIMS),
        ),
        'claims_per_s_one_per_append': run_virtual(
            _measure_burst(seed, single, BASELINE_BURST_CLAIMS),
        ),
    }


def _start_figures(seed: int) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for existing in EXISTING_CLAIMS:
        ready_ms, full_window_ms = run_virtual(_measure_start(seed, existing))
        figures[f'start_ms_{existing}_held'] = ready_ms
        figures[f'start_ms_{existing}_held_whole_window'] = full_window_ms
    return figures


async def _measure_waits(
    seed: int,
    settings: ClaimsSettings,
    rate_per_s: float,
) -> list[float]:
    bench = ClaimBench(seed, settings)
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(ENTRIES):
            await bench.start_entry(stack)
        await asyncio.sleep(WARM_UP_S)
        return await bench.offer(rate_per_s, RUN_S)


async def _measure_burst(
    seed: int,
    settings: ClaimsSettings,
    claims: int,
) -> float:
    """Returns the claims per second when all requests arrive at once."""
    bench = ClaimBench(seed, settings)
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(ENTRIES):
            await bench.start_entry(stack)
        await asyncio.sleep(WARM_UP_S)
        started_ms = bench.clock.steady_ms()
        pending_claims = [
            bench.claim(number % ENTRIES) for number in range(claims)
        ]
        await asyncio.gather(*pending_claims)
        return claims * MS_PER_S / (bench.clock.steady_ms() - started_ms)


async def _measure_start(seed: int, existing: int) -> tuple[float, float]:
    """Returns the milliseconds to the first claim and to the full window.

    Both are the sum of the CPU time and the virtual time of the log.
    """
    bench = ClaimBench(seed, _claims_settings())
    await bench.append_existing_claims(existing)
    async with contextlib.AsyncExitStack() as stack:
        started_ms = bench.clock.steady_ms()
        cpu_s = time.process_time()
        await bench.start_entry(stack)
        await bench.claim(0)
        ready_ms = _elapsed_ms(bench, started_ms, cpu_s)
        shard = bench.services[0].log.shards[0]
        while not shard.covers(
            bench.clock.wall_ms() - EXISTING_SPAN_S * MS_PER_S
        ):
            await shard.waiters.wait('')
        return ready_ms, _elapsed_ms(bench, started_ms, cpu_s)


def _elapsed_ms(bench: ClaimBench, started_ms: float, cpu_s: float) -> float:
    used_ms = (time.process_time() - cpu_s) * MS_PER_S
    return used_ms + bench.clock.steady_ms() - started_ms


def _wait_figures(name: str, waits: Sequence[float]) -> dict[str, float]:
    percentiles = statistics.quantiles(waits, n=100)
    return {
        f'{name}_p50_round_trips': percentiles[MEDIAN_INDEX] / ROUND_TRIP_MS,
        f'{name}_p99_ms': percentiles[-1],
    }


def _claims_settings(**fields: Any) -> ClaimsSettings:
    return ClaimsSettings(appends_per_s=APPEND_BUDGET_PER_S, **fields)


def _entry_settings(name: str, claims: ClaimsSettings) -> EntrySettings:
    return EntrySettings.model_validate(
        {
            'instance_id': name,
            'failure_domain': name,
            'listen_address': UNUSED_ADDRESS,
            'peer_address': UNUSED_ADDRESS,
            'claims': claims.model_dump(),
            'platform': {
                'log_address': UNUSED_ADDRESS,
                'instances_address': UNUSED_ADDRESS,
                'weights_address': UNUSED_ADDRESS,
            },
        }
    )
