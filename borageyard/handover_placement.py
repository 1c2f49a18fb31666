"""Selects the entries that back up the finished stages of a request."""

import hashlib
import json
from collections.abc import Mapping, Sequence

from .requests import PipelineRequest

HASH_BYTES = 8
KEY_BYTES = 16


def handover_key(request: PipelineRequest) -> str:
    """Returns the key under which the stages of a request are saved.

    It covers everything that the answer depends on, so that a different
    request with the same id never gets them.

    Args:
        request: The request.
    """
    parts = [
        request.request_id,
        request.organisation,
        request.pipeline,
        request.idempotency_key,
        request.body,
    ]
    text = json.dumps(parts, sort_keys=True)
    hashed = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES)
    return hashed.hexdigest()


def choose_backup(
    key: str,
    runner: str,
    runner_domain: str,
    domains: Mapping[str, str],
) -> str | None:
    """Returns the entry that backs up the stages of a request.

    That is the first entry by hash order in a failure domain other than that
    of the runner, or the first other entry if all share one domain.

    Args:
        key: Handover key of the request.
        runner: Entry that runs the request.
        runner_domain: Failure domain of the runner.
        domains: Failure domain of each live entry.

    Returns:
        Instance id of the backup; None if there is no other entry.
    """
    ranked = [name for name in _rank_entries(key, domains) if name != runner]
    in_other_domains = [
        name for name in ranked if domains[name] != runner_domain
    ]
    return next(iter((*in_other_domains, *ranked)), None)


def possible_backups(key: str, domains: Mapping[str, str]) -> Sequence[str]:
    """Returns the entries that can be the backup, for any runner.

    Args:
        key: Handover key of the request.
        domains: Failure domain of each live entry.

    Returns:
        At most two entries; the first one decides which entry runs the
        request.
    """
    if not domains:
        return ()
    first = _rank_entries(key, domains)[0]
    second = choose_backup(key, first, domains[first], domains)
    return (first,) if second is None else (first, second)


def _rank_entries(key: str, domains: Mapping[str, str]) -> list[str]:
    return sorted(domains, key=lambda name: _hash_weight(key, name))


def _hash_weight(key: str, name: str) -> bytes:
    text = f'{key} {name}'
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
