"""Measures the overhead of an entry against direct calls and bare h11.

Everything runs in one process on loopback. The caller and the targets are
bare h11 (see the ``bare`` module) in every run, so the runs differ only in
what is between them:

- floor: the caller does the exchanges itself, one with a bare server in place
  of the entry and one with the target of each stage;
- entry: the caller calls an entry, which does the exchanges with the targets.

CPU time is that of the whole process. A ratio of 2 means that the entry's
own work costs as much as all the bare exchanges of its request, counting both
sides. A relayed token is two exchanges of one chunk, from the target to the
entry and on to the caller; its floor is twice a direct one. The CPU time of
the pauses between tokens is measured separately and subtracted from both. The
polling intervals of the entry are longer than the runs, so that no polling
falls into them.
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
from .entry_bench import EntryBench, running_bench
from .report import BenchReport, Bound

WARM_UP_REQUESTS = 50
REQUESTS = 400
ROUNDS = 3
TOKENS = 200
TOKEN_STREAMS = 10
TOKEN_PAUSE_S = 0.002
BLOCKS = 5
BLOCK_REQUESTS = 300
LAG_STREAMS = 200
LAG_STREAM_TOKENS = 50
LAG_STREAM_PAUSE_S = 0.05
LARGE_PROMPT_BYTES = 1024 * 1024
LARGE_PROMPTS = 20
LAG_PROBE_MS = 2
LAG_START_SPAN_S = 1
US_PER_S = 1_000_000
HALF_LOAD = 0.5
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

Operation = Callable[[], Awaitable[object]]


def run_overhead(seed: int) -> BenchReport:
    """Measures the CPU time, latency and event loop lag of an entry.

    Args:
        seed: Seed of the arrivals.

    Returns:
        The figures with their bounds.
    """
    figures = asyncio.run(_measure(seed))
    return BenchReport('overhead', seed, figures, BOUNDS)


async def _measure(seed: int) -> dict[str, float]:
    async with running_bench(TOKENS, TOKEN_PAUSE_S) as bench:
        figures = await _measure_request_cpu(bench)
        figures.update(await _measure_token_cpu(bench, figures))
        figures.update(await _measure_added_latency(bench, seed, figures))
    async with running_bench(LAG_STREAM_TOKENS, LAG_STREAM_PAUSE_S) as bench:
        figures.update(await _measure_lag(bench))
    return figures


async def _measure_request_cpu(bench: EntryBench) -> dict[str, float]:
    address = bench.target_addresses[0]
    direct_s, floor_s, entry_s = await _min_cpu_s(
        (lambda: bench.call_target(address), bench.call_bare, bench.call_entry),
        REQUESTS,
    )
    return {
        'direct_cpu_ms': direct_s * MS_PER_S,
        'floor_cpu_ms': floor_s * MS_PER_S,
        'entry_cpu_ms': entry_s * MS_PER_S,
        'cpu_ratio': entry_s / floor_s,
    }


async def _measure_token_cpu(
    bench: EntryBench,
    figures: dict[str, float],
) -> dict[str, float]:
    pause_s, floor_s, entry_s = await _min_cpu_s(
        (
            lambda: _run_token_streams(_pause),
            lambda: _run_token_streams(bench.stream_target),
            lambda: _run_token_streams(bench.stream_entry),
        ),
        1,
    )
    tokens = TOKENS * TOKEN_STREAMS
    exchange_s = (floor_s - pause_s) / tokens
    # Excludes the cost of the requests apart from their tokens.
    requests_s = figures['entry_cpu_ms'] / MS_PER_S * TOKEN_STREAMS
    relay_s = (entry_s - pause_s - requests_s) / tokens
    return {
        'floor_token_us': 2 * exchange_s * US_PER_S,
        'entry_token_us': relay_s * US_PER_S,
        'token_cpu_ratio': relay_s / (2 * exchange_s),
    }


async def _measure_added_latency(
    bench: EntryBench,
    seed: int,
    figures: dict[str, float],
) -> dict[str, float]:
    rate_per_s = HALF_LOAD * MS_PER_S / figures['entry_cpu_ms']
    floor_ms: list[float] = []
    entry_ms: list[float] = []
    # Blocks alternate, so that other load on the machine affects both.
    for block in range(BLOCKS):
        arrivals = random.Random(seed + block)
        floor_ms += await _latencies_ms(bench.call_bare, rate_per_s, arrivals)
        entry_ms += await _latencies_ms(bench.call_entry, rate_per_s, arrivals)
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


async def _measure_lag(bench: EntryBench) -> dict[str, float]:
    prompt = encode_json({'text': 'x' * LARGE_PROMPT_BYTES})
    streams = tuple(itertools.repeat(bench.stream_entry, LAG_STREAMS))
    prompts = tuple(
        itertools.repeat(lambda: bench.call_entry(prompt), LARGE_PROMPTS),
    )
    return {
        'lag_200_streams_ms': await _worst_lag_ms(*streams),
        'lag_1mb_prompts_ms': await _worst_lag_ms(*prompts),
        'lag_both_ms': await _worst_lag_ms(*streams, *prompts),
        'lag_200_streams_burst_ms': await _burst_lag_ms(*streams),
        'lag_1mb_prompts_burst_ms': await _burst_lag_ms(*prompts),
    }


async def _worst_lag_ms(*operations: Operation) -> float:
    """Returns the worst lag while operations run that start over a second."""
    lag = LoopLagMonitor(window=US_PER_S)
    watcher = asyncio.ensure_future(lag.run_probes(LAG_PROBE_MS))
    tasks = []
    for start in operations:
        tasks.append(asyncio.ensure_future(start()))
        await asyncio.sleep(LAG_START_SPAN_S / len(operations))
    await asyncio.gather(*tasks)
    watcher.cancel()
    return lag.worst_ms


async def _burst_lag_ms(*operations: Operation) -> float:
    """Returns the worst lag while operations run that start at once."""
    lag = LoopLagMonitor(window=US_PER_S)
    watcher = asyncio.ensure_future(lag.run_probes(LAG_PROBE_MS))
    await asyncio.gather(*[start() for start in operations])
    watcher.cancel()
    return lag.worst_ms


async def _min_cpu_s(kinds: Sequence[Operation], times: int) -> list[float]:
    """Returns the minimum CPU time in seconds of one operation of each kind.

    Rounds of the kinds alternate, so that other load on the machine affects
    all of them.
    """
    min_s = [math.inf for _ in kinds]
    for kind in kinds:
        await _repeat(kind, min(times, WARM_UP_REQUESTS))
    for _ in range(ROUNDS):
        for index, kind in enumerate(kinds):
            gc.collect()
            started_s = time.process_time()
            await _repeat(kind, times)
            spent_s = (time.process_time() - started_s) / times
            min_s[index] = min(min_s[index], spent_s)
    return min_s


async def _repeat(operation: Operation, times: int) -> None:
    for _ in range(times):
        await operation()


async def _latencies_ms(
    operation: Operation,
    rate_per_s: float,
    arrivals: random.Random,
) -> list[float]:
    """Returns the latencies of operations with Poisson arrivals."""
    loop = asyncio.get_running_loop()
    due_s = loop.time()
    tasks = []
    for _ in range(BLOCK_REQUESTS):
        due_s += arrivals.expovariate(rate_per_s)
        await asyncio.sleep(due_s - loop.time())
        tasks.append(asyncio.ensure_future(_latency_ms(operation, due_s)))
    return await asyncio.gather(*tasks)


async def _latency_ms(operation: Operation, due_s: float) -> float:
    """Returns the latency from the due time, so that loop lag is included."""
    await operation()
    return (asyncio.get_running_loop().time() - due_s) * MS_PER_S


async def _run_token_streams(operation: Operation) -> None:
    await asyncio.gather(*[operation() for _ in range(TOKEN_STREAMS)])


async def _pause() -> None:
    for _ in range(TOKENS):
        await asyncio.sleep(TOKEN_PAUSE_S)


def _quantiles(times_ms: Sequence[float]) -> tuple[float, float]:
    """Returns the median and the 99th percentile."""
    ordered = sorted(times_ms)
    median = ordered[math.ceil(MEDIAN * len(ordered)) - 1]
    p99 = ordered[math.ceil(P99 * len(ordered)) - 1]
    return median, p99
