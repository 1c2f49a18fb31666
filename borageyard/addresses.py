"""Addresses of entries for callers."""

from collections.abc import Iterable, Sequence

from .platform import ROLE_ENTRY, STATE_LIVE, Instance


def order_entries(
    instances: Iterable[Instance],
    failure_domain: str,
) -> Sequence[Instance]:
    """Orders live entries for a caller.

    Args:
        instances: Known instances of all roles.
        failure_domain: Where the caller is; empty if unknown.

    Returns:
        Live entries, those of the caller's failure domain first.
    """
    live = [
        row
        for row in instances
        if row.role == ROLE_ENTRY and row.state == STATE_LIVE
    ]
    return sorted(
        live,
        key=lambda row: (row.failure_domain != failure_domain, row.address),
    )
