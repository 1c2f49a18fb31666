"""Experiment: memory and CPU time per item, projected to full size."""

import functools
import gc
import random
import time
import tracemalloc
import types
from collections.abc import Callable, Mapping
from typing import Any

from ..backing_services import (
    ROLE_ENTRY,
    ROLE_TARGET,
    Instance,
    LogPage,
    LogRecord,
)
from ..claims import Claim, ClaimFold
from ..clock import MS_PER_S
from ..configuration_log import CONFIGURATION_STREAM, ConfigurationFold
from ..http_messages import encode_json
from ..identifiers import identifier_at
from ..membership import Membership
from ..target_client import LoadReport
from ..targets import TargetDirectory
from .report import BenchReport, Bound

# Required deployment size and limits of a node.
NODES = 600
TARGETS = 5100
ORGANISATIONS = 12_000
CHANGES_PER_DAY = 5200
REQUESTS_PER_S = 22_000
MEMORY_LIMIT_BYTES = 128_000_000
CORE_SHARE_LIMIT = 0.014
TRAFFIC_LIMIT_BYTES_PER_S = 3000

SECONDS_PER_DAY = 86_400
US_PER_S = 1_000_000
CLAIMED_SHARE = 0.05
CLAIM_WINDOW_S = 600
FAILURE_DOMAINS = 16
SMALL_SIZE_SHARE = 0.25
CLAIMS_MEASURED = 20_000
START_MS = 1_790_000_000_000
KEY_RANDOM_BITS = 74
DIGEST_CHARS = 64
DIGEST = 'd' * DIGEST_CHARS
REPEATS = 3

# Builds a state with a number of items. The result stays referenced while its
# memory is measured.
StateBuilder = Callable[[int], object]

SERVICES: Mapping[str, Any] = types.MappingProxyType(
    {
        'llm': {'kind': 'engine'},
    }
)
PIPELINES: Mapping[str, Any] = types.MappingProxyType(
    {
        'answer': {'stages': [{'name': 'generate', 'service': 'llm'}]},
    }
)


def run_capacity(seed: int) -> BenchReport:
    """Measures the cost per item and projects a node's total at full size.

    A slope is the difference of the costs at two sizes divided by the
    difference in items, so that constant costs cancel out.

    Args:
        seed: Seed of the keys of claims.

    Returns:
        Slopes, and projections with the required limits as bounds.
    """
    build_claims = functools.partial(_build_claims, seed)
    figures: dict[str, Any] = {
        'organisation_bytes': memory_slope(_build_configuration, ORGANISATIONS),
        'target_bytes': memory_slope(_build_directory, TARGETS),
        'member_bytes': memory_slope(_build_membership, NODES),
        'claim_bytes': memory_slope(build_claims, CLAIMS_MEASURED),
        'claim_fold_us': time_slope(build_claims, CLAIMS_MEASURED),
        'load_report_us': time_slope(_build_directory, TARGETS),
    }
    document = _build_document(ORGANISATIONS)
    figures['configuration_bytes'] = len(encode_json(document))
    figures['configuration_fold_ms'] = (
        _min_cpu_s(
            _build_configuration,
            ORGANISATIONS,
        )
        * MS_PER_S
    )
    figures.update(_project(figures))
    return BenchReport(
        name='capacity',
        seed=seed,
        figures=figures,
        bounds=(
            Bound('state_bytes', MEMORY_LIMIT_BYTES),
            Bound('configuration_core_share', CORE_SHARE_LIMIT),
            Bound('configuration_bytes_per_s', TRAFFIC_LIMIT_BYTES_PER_S),
            Bound('sharded_claims_core_share', CORE_SHARE_LIMIT),
            Bound('sharded_total_bytes', MEMORY_LIMIT_BYTES),
        ),
    )


def memory_slope(build: StateBuilder, size: int) -> float:
    """Returns the bytes of memory per additional item.

    Args:
        build: Builds a state with a number of items.
        size: Larger of the two measured sizes, in items.
    """
    small = int(size * SMALL_SIZE_SHARE)
    return (_allocated_bytes(build, size) - _allocated_bytes(build, small)) / (
        size - small
    )


def time_slope(build: StateBuilder, size: int) -> float:
    """Returns the microseconds of CPU time per additional item.

    Args:
        build: Builds a state with a number of items.
        size: Larger of the two measured sizes, in items.
    """
    small = int(size * SMALL_SIZE_SHARE)
    spent_s = _min_cpu_s(build, size) - _min_cpu_s(build, small)
    return spent_s * US_PER_S / (size - small)


def _project(figures: Mapping[str, Any]) -> dict[str, float]:
    state_bytes = (
        figures['organisation_bytes'] * ORGANISATIONS
        + figures['target_bytes'] * TARGETS
        + figures['member_bytes'] * NODES
    )
    claims_per_s = REQUESTS_PER_S * CLAIMED_SHARE
    claims_bytes = figures['claim_bytes'] * claims_per_s * CLAIM_WINDOW_S
    claims_share = figures['claim_fold_us'] * claims_per_s / US_PER_S
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    return {
        'state_bytes': state_bytes,
        'all_claims_bytes': claims_bytes,
        'sharded_claims_bytes': claims_bytes / FAILURE_DOMAINS,
        'sharded_total_bytes': state_bytes + claims_bytes / FAILURE_DOMAINS,
        'all_claims_core_share': claims_share,
        'sharded_claims_core_share': claims_share / FAILURE_DOMAINS,
        'configuration_core_share': (
            figures['configuration_fold_ms'] / MS_PER_S * changes_per_s
        ),
        'configuration_bytes_per_s': (
            figures['configuration_bytes'] * changes_per_s
        ),
    }


def _allocated_bytes(build: StateBuilder, size: int) -> int:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    state = build(size)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return 0 if state is None else after - before


def _min_cpu_s(build: StateBuilder, size: int) -> float:
    times_s = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        build(size)
        times_s.append(time.process_time() - started_s)
    return min(times_s)


def _build_document(organisations: int) -> dict[str, Any]:
    organisation_names = (
        f'organisation-{number}' for number in range(organisations)
    )
    return {
        'format': 1,
        'organisations': {name: {'weight': 1.0} for name in organisation_names},
        'services': dict(SERVICES),
        'pipelines': dict(PIPELINES),
    }


def _build_configuration(organisations: int) -> object:
    document = _build_document(organisations)
    fold = ConfigurationFold()
    body = {
        'type': 'apply',
        'base_version': 0,
        'author': CONFIGURATION_STREAM,
        'document': document,
    }
    fold.fold_page(LogPage(0, 1, (LogRecord(0, START_MS, body),)))
    return fold


def _build_directory(targets: int) -> object:
    rows = [
        Instance(
            instance_id=f'target-{number}',
            role=ROLE_TARGET,
            address=f'127.0.0.1:{number}',
            failure_domain='a',
            service='llm',
        )
        for number in range(targets)
    ]
    directory = TargetDirectory()
    directory.update(rows)
    for row in rows:
        report = LoadReport(row.instance_id, START_MS, 1, 0, 8)
        directory.note_report(report, 0)
    return directory


def _build_membership(nodes: int) -> object:
    membership = Membership('entry-0', 1)
    rows = [
        Instance(
            instance_id=f'entry-{number}',
            role=ROLE_ENTRY,
            address=f'127.0.0.1:{number}',
            failure_domain='a',
            incarnation=1,
        )
        for number in range(nodes)
    ]
    membership.note_list(rows, 0)
    return membership


def _build_claims(seed: int, claims: int) -> object:
    source = random.Random(seed)
    fold = ClaimFold()
    for number in range(claims):
        key = identifier_at(START_MS, source.getrandbits(KEY_RANDOM_BITS))
        fold.add_claim(Claim(key, key, DIGEST, 'entry-0', (number, 0)))
    return fold
