"""The cost that an entry adds, next to direct calls and to bare h11.

Everything runs in one process on loopback. The caller and the targets are
bare h11 (see ``bench_bare``) in every run, so the runs differ only in who
stands between them:

- floor: the caller does the exchanges itself, one at an entry's place and
  one with the target of each stage;
- entry: the caller asks an entry, which does the exchanges with the targets.

CPU is the time of the whole process. A ratio of 2 means that the entry's
own work costs as much as all the bare exchanges of its request, both sides
counted. A relayed token is two exchanges of one chunk, from the target to
the entry and on to the caller; the floor is twice a direct one. Pauses
between tokens are measured alone and subtracted from both. The entry's
polls are stretched, so that no control work falls into the runs.
"""

import asyncio
import gc
import itertools
import math
import random
import time
from collections.abc import Awaitable, Callable, Sequence

from .bench_chain import Chain, running
from .bench_report import BenchReport, Bound
from .clock import MS_PER_S
from .http_messages import encode_json
from .loop_lag import LoopLag

WARM_UP_REQUESTS = 50
REQUESTS = 400
ROUNDS = 3
TOKENS = 200
TOKEN_STREAMS = 10
TOKEN_PAUSE_S = 0.002
OPEN_LOOP_REQUESTS = 1500
MANY_STREAMS = 200
MANY_STREAM_TOKENS = 50
MANY_STREAM_PAUSE_S = 0.05
LARGE_PROMPT_BYTES = 1024 * 1024
LARGE_PROMPTS = 20
LAG_PROBE_MS = 2
LAG_START_S = 1
US_PER_S = 1_000_000
HALF = 0.5
MEDIAN = 0.5
P99 = 0.99
MAX_CPU_RATIO = 2
MAX_ADDED_P50_MS = 2
MAX_ADDED_P99_MS = 5
BOUNDS = (
    Bound('cpu_ratio', MAX_CPU_RATIO),
    Bound('token_cpu_ratio', MAX_CPU_RATIO),
    Bound('added_p50_ms', MAX_ADDED_P50_MS),
    Bound('added_p99_ms', MAX_ADDED_P99_MS),
)

Work = Callable[[], Awaitable[object]]


def run_overhead(seed: int) -> BenchReport:
    """Measures what an entry adds.

    Args:
        seed: Seed of the arrivals.
    """
    figures = asyncio.run(_measure(seed))
    return BenchReport('overhead', seed, figures, BOUNDS)


async def _measure(seed: int) -> dict[str, float]:
    async with running(TOKENS, TOKEN_PAUSE_S) as bench:
        figures = await _measure_requests(bench)
        figures.update(await _measure_tokens(bench))
        figures.update(await _measure_added(bench, seed, figures))
    async with running(MANY_STREAM_TOKENS, MANY_STREAM_PAUSE_S) as bench:
        figures.update(await _measure_lag(bench))
    return figures


async def _measure_requests(bench: Chain) -> dict[str, float]:
    address = bench.target_addresses[0]
    direct_s = await _cpu_of(lambda: bench.ask_target(address), REQUESTS)
    floor_s = await _cpu_of(bench.ask_floor, REQUESTS)
    entry_s = await _cpu_of(bench.ask_entry, REQUESTS)
    return {
        'direct_cpu_ms': direct_s * MS_PER_S,
        'floor_cpu_ms': floor_s * MS_PER_S,
        'entry_cpu_ms': entry_s * MS_PER_S,
        'cpu_ratio': entry_s / floor_s,
    }


async def _measure_tokens(bench: Chain) -> dict[str, float]:
    pause_s = await _cpu_of(lambda: _together(_pause), 1)
    whole_s = await _cpu_of(bench.ask_entry, REQUESTS)
    floor_s = await _cpu_of(lambda: _together(bench.stream_target), 1)
    entry_s = await _cpu_of(lambda: _together(bench.stream_entry), 1)
    tokens = TOKENS * TOKEN_STREAMS
    hop_s = (floor_s - pause_s) / tokens
    # What a request costs apart from its tokens is not theirs.
    relay_s = (entry_s - pause_s - whole_s * TOKEN_STREAMS) / tokens
    return {
        'floor_token_us': 2 * hop_s * US_PER_S,
        'entry_token_us': relay_s * US_PER_S,
        'token_cpu_ratio': relay_s / (2 * hop_s),
    }


async def _measure_added(
    bench: Chain,
    seed: int,
    figures: dict[str, float],
) -> dict[str, float]:
    rate_per_s = HALF * MS_PER_S / figures['entry_cpu_ms']
    floor_ms = await _latencies_ms(bench.ask_floor, rate_per_s, seed)
    entry_ms = await _latencies_ms(bench.ask_entry, rate_per_s, seed)
    return {
        'half_load_per_s': rate_per_s,
        'floor_p50_ms': _quantile(floor_ms, MEDIAN),
        'floor_p99_ms': _quantile(floor_ms, P99),
        'entry_p50_ms': _quantile(entry_ms, MEDIAN),
        'entry_p99_ms': _quantile(entry_ms, P99),
        'added_p50_ms': _quantile(entry_ms, MEDIAN)
        - _quantile(floor_ms, MEDIAN),
        'added_p99_ms': _quantile(entry_ms, P99) - _quantile(floor_ms, P99),
    }


async def _measure_lag(bench: Chain) -> dict[str, float]:
    prompt = encode_json({'text': 'x' * LARGE_PROMPT_BYTES})
    streams = tuple(itertools.repeat(bench.stream_entry, MANY_STREAMS))
    prompts = tuple(
        itertools.repeat(lambda: bench.ask_entry(prompt), LARGE_PROMPTS),
    )
    return {
        'lag_200_streams_ms': await _worst_lag_ms(*streams),
        'lag_1mb_prompts_ms': await _worst_lag_ms(*prompts),
        'lag_both_ms': await _worst_lag_ms(*streams, *prompts),
        'lag_200_streams_burst_ms': await _burst_lag_ms(*streams),
        'lag_1mb_prompts_burst_ms': await _burst_lag_ms(*prompts),
    }


async def _worst_lag_ms(*work: Work) -> float:
    """Returns the worst lag while work runs that started over a second."""
    lag = LoopLag(window=US_PER_S)
    watching = asyncio.ensure_future(lag.watch(LAG_PROBE_MS))
    tasks = []
    for start in work:
        tasks.append(asyncio.ensure_future(start()))
        await asyncio.sleep(LAG_START_S / len(work))
    await asyncio.gather(*tasks)
    watching.cancel()
    return lag.worst_ms


async def _burst_lag_ms(*work: Work) -> float:
    """Returns the worst lag while work runs that started at once."""
    lag = LoopLag(window=US_PER_S)
    watching = asyncio.ensure_future(lag.watch(LAG_PROBE_MS))
    await asyncio.gather(*[start() for start in work])
    watching.cancel()
    return lag.worst_ms


async def _cpu_of(work: Work, times: int) -> float:
    """Returns the least CPU time of one run of the work, in seconds."""
    for _ in range(min(times, WARM_UP_REQUESTS)):
        await work()
    rounds = []
    for _ in range(ROUNDS):
        gc.collect()
        started_s = time.process_time()
        for _ in range(times):
            await work()
        rounds.append((time.process_time() - started_s) / times)
    return min(rounds)


async def _latencies_ms(
    work: Work,
    rate_per_s: float,
    seed: int,
) -> list[float]:
    """Returns the sorted times of work with arrivals at random."""
    random_source = random.Random(seed)
    loop = asyncio.get_running_loop()
    due_s = loop.time()
    tasks = []
    for _ in range(OPEN_LOOP_REQUESTS):
        due_s += random_source.expovariate(rate_per_s)
        await asyncio.sleep(due_s - loop.time())
        tasks.append(asyncio.ensure_future(_time_ms(work, due_s)))
    return sorted(await asyncio.gather(*tasks))


async def _time_ms(work: Work, due_s: float) -> float:
    """Times work from when it was due, so that lag counts."""
    await work()
    return (asyncio.get_running_loop().time() - due_s) * MS_PER_S


async def _together(work: Work) -> None:
    await asyncio.gather(*[work() for _ in range(TOKEN_STREAMS)])


async def _pause() -> None:
    for _ in range(TOKENS):
        await asyncio.sleep(TOKEN_PAUSE_S)


def _quantile(ordered: Sequence[float], share: float) -> float:
    index = math.ceil(share * len(ordered)) - 1
    return ordered[max(index, 0)]
