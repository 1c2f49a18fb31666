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

from ..clock import MS_PER_S
from ..http_messages import encode_json
from ..loop_lag import LoopLagMonitor
from .chain import Chain, running
from .report import BenchReport, Bound

WARM_UP_REQUESTS = 50
REQUESTS = 400
ROUNDS = 3
TOKENS = 200
TOKEN_STREAMS = 10
TOKEN_PAUSE_S = 0.002
BLOCKS = 5
BLOCK_REQUESTS = 300
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
        figures.update(await _measure_tokens(bench, figures))
        figures.update(await _measure_added(bench, seed, figures))
    async with running(MANY_STREAM_TOKENS, MANY_STREAM_PAUSE_S) as bench:
        figures.update(await _measure_lag(bench))
    return figures


async def _measure_requests(bench: Chain) -> dict[str, float]:
    address = bench.target_addresses[0]
    direct_s, floor_s, entry_s = await _cpu_of(
        (lambda: bench.ask_target(address), bench.ask_floor, bench.ask_entry),
        REQUESTS,
    )
    return {
        'direct_cpu_ms': direct_s * MS_PER_S,
        'floor_cpu_ms': floor_s * MS_PER_S,
        'entry_cpu_ms': entry_s * MS_PER_S,
        'cpu_ratio': entry_s / floor_s,
    }


async def _measure_tokens(
    bench: Chain,
    figures: dict[str, float],
) -> dict[str, float]:
    pause_s, floor_s, entry_s = await _cpu_of(
        (
            lambda: _together(_pause),
            lambda: _together(bench.stream_target),
            lambda: _together(bench.stream_entry),
        ),
        1,
    )
    tokens = TOKENS * TOKEN_STREAMS
    hop_s = (floor_s - pause_s) / tokens
    # What a request costs apart from its tokens is not theirs.
    whole_s = figures['entry_cpu_ms'] / MS_PER_S * TOKEN_STREAMS
    relay_s = (entry_s - pause_s - whole_s) / tokens
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
    floor_ms: list[float] = []
    entry_ms: list[float] = []
    # Blocks take turns, so that other work on the machine meets both.
    for block in range(BLOCKS):
        arrivals = random.Random(seed + block)
        floor_ms += await _times_ms(bench.ask_floor, rate_per_s, arrivals)
        entry_ms += await _times_ms(bench.ask_entry, rate_per_s, arrivals)
    floor_p50_ms, floor_p99_ms = _quantiles(floor_ms)
    entry_p50_ms, entry_p99_ms = _quantiles(entry_ms)
    return {
        'half_load_per_s': rate_per_s,
        'floor_p50_ms': floor_p50_ms,
        'floor_p99_ms': floor_p99_ms,
        'entry_p50_ms': entry_p50_ms,
        'entry_p99_ms': entry_p99_ms,
        'added_p50_ms': entry_p50_ms - floor_p50_ms,
        'added_p99_ms': entry_p99_ms - floor_p99_ms,
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
    lag = LoopLagMonitor(window=US_PER_S)
    watching = asyncio.ensure_future(lag.run_probes(LAG_PROBE_MS))
    tasks = []
    for start in work:
        tasks.append(asyncio.ensure_future(start()))
        await asyncio.sleep(LAG_START_S / len(work))
    await asyncio.gather(*tasks)
    watching.cancel()
    return lag.worst_ms


async def _burst_lag_ms(*work: Work) -> float:
    """Returns the worst lag while work runs that started at once."""
    lag = LoopLagMonitor(window=US_PER_S)
    watching = asyncio.ensure_future(lag.run_probes(LAG_PROBE_MS))
    await asyncio.gather(*[start() for start in work])
    watching.cancel()
    return lag.worst_ms


async def _cpu_of(kinds: Sequence[Work], times: int) -> list[float]:
    """Returns the least CPU time of one run of each kind, in seconds.

    Rounds of the kinds take turns, so that other work on the machine meets
    all of them.
    """
    least = [math.inf for _ in kinds]
    for kind in kinds:
        await _repeat(kind, min(times, WARM_UP_REQUESTS))
    for _ in range(ROUNDS):
        for index, kind in enumerate(kinds):
            gc.collect()
            started_s = time.process_time()
            await _repeat(kind, times)
            spent_s = (time.process_time() - started_s) / times
            least[index] = min(least[index], spent_s)
    return least


async def _repeat(work: Work, times: int) -> None:
    for _ in range(times):
        await work()


async def _times_ms(
    work: Work,
    rate_per_s: float,
    arrivals: random.Random,
) -> list[float]:
    """Returns the times of work with arrivals at random."""
    loop = asyncio.get_running_loop()
    due_s = loop.time()
    tasks = []
    for _ in range(BLOCK_REQUESTS):
        due_s += arrivals.expovariate(rate_per_s)
        await asyncio.sleep(due_s - loop.time())
        tasks.append(asyncio.ensure_future(_time_ms(work, due_s)))
    return await asyncio.gather(*tasks)


async def _time_ms(work: Work, due_s: float) -> float:
    """Times work from when it was due, so that lag counts."""
    await work()
    return (asyncio.get_running_loop().time() - due_s) * MS_PER_S


async def _together(work: Work) -> None:
    await asyncio.gather(*[work() for _ in range(TOKEN_STREAMS)])


async def _pause() -> None:
    for _ in range(TOKENS):
        await asyncio.sleep(TOKEN_PAUSE_S)


def _quantiles(times_ms: Sequence[float]) -> tuple[float, float]:
    """Returns the median and the 99th percentile."""
    ordered = sorted(times_ms)
    median = ordered[math.ceil(MEDIAN * len(ordered)) - 1]
    p99 = ordered[math.ceil(P99 * len(ordered)) - 1]
    return median, p99
