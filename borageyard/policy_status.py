"""State of the policy as ``/v1/status`` shows it."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from .policy import EntryPolicy
from .targets import TargetState


def policy_status(policy: EntryPolicy) -> Mapping[str, Any]:
    """Returns the state of an entry's policy as a JSON object.

    Args:
        policy: The policy.
    """
    now_ms = policy.clock.steady_ms()
    targets = policy.directory.all_targets()
    services = sorted({state.instance.service for state in targets})
    retries = policy.retries.accounts
    return {
        'entries': policy.limits.entries,
        'targets': [_target_status(policy, state, now_ms) for state in targets],
        'services': {name: _service_status(policy, name) for name in services},
        'retries': {
            name: dataclasses.asdict(account)
            for name, account in retries.items()
        },
        'suspects': [
            dataclasses.asdict(record)
            for record in policy.quarantine.records(now_ms)
        ],
    }


def _target_status(
    policy: EntryPolicy,
    state: TargetState,
    now_ms: float,
) -> Mapping[str, Any]:
    return {
        'target_id': state.target_id,
        'load': state.load(now_ms),
        'slots': state.slots,
        'duration_ms': state.duration_ms,
        'report_age_ms': _age_ms(state, now_ms),
        'ejected': policy.outliers.is_ejected(state.target_id, now_ms),
    }


def _service_status(policy: EntryPolicy, name: str) -> Mapping[str, Any]:
    usual = policy.times.time_quantiles(name, 0)
    return {'waiting': policy.queues.waiting(name), **usual._asdict()}


def _age_ms(state: TargetState, now_ms: float) -> float | None:
    if state.report is None:
        return None
    return now_ms - state.reported_at_ms
