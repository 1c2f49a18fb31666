"""Limits on the open connections of an entry, from those of its machine."""

import dataclasses

from .machine_limits import MachineLimits

# Limit if the machine states nothing lower.
MAX_CONNECTIONS = 2000
# Descriptors that are left for files, logs and libraries.
RESERVED_DESCRIPTORS = 200
# Descriptors of a caller's connection with those to targets and peers for it:
# up to 2.2 with 600 requests under way at one gateway process.
DESCRIPTORS_PER_CONNECTION = 2.2
# Share of the other descriptors for callers; the rest is for the platform.
CALLER_SHARE = 0.7
PLATFORM_SERVERS = 3
# Memory of a ready gateway process without callers: 47 MB.
PROCESS_BYTES = 50_000_000
# Memory of a connection with a request of 2 KB under way: 27 to 71 KB with 600
# of them at one gateway process, most while they wait for an engine. Without a
# request it is 8 KB.
CONNECTION_BYTES = 72_000
# Share of the other memory for connections; the rest is for large bodies,
# answers that callers read slowly, and planning.
MEMORY_SHARE = 0.5
# An entry or a server with less than this is of no use.
MIN_CALLERS = 16
MIN_PLATFORM = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Largest number of open connections of one entry."""

    callers: int = MAX_CONNECTIONS
    # Limit of each of the servers for the platform: entry discovery, readiness
    # checks and metrics.
    platform: int = MAX_CONNECTIONS


def connection_limits(machine: MachineLimits) -> ConnectionLimits:
    """Returns the limits of an entry.

    Args:
        machine: Resources of its machine; what it does not state, limits
            nothing.
    """
    callers: float = MAX_CONNECTIONS
    platform: float = MAX_CONNECTIONS
    if machine.memory_bytes is not None:
        spare_bytes = (machine.memory_bytes - PROCESS_BYTES) * MEMORY_SHARE
        callers = min(callers, spare_bytes / CONNECTION_BYTES)
    if machine.max_descriptors is not None:
        usable = machine.max_descriptors - RESERVED_DESCRIPTORS
        allowed = usable * CALLER_SHARE / DESCRIPTORS_PER_CONNECTION
        callers = min(callers, allowed)
        rest = usable - callers * DESCRIPTORS_PER_CONNECTION
        platform = min(platform, rest / PLATFORM_SERVERS)
    return ConnectionLimits(
        max(int(callers), MIN_CALLERS),
        max(int(platform), MIN_PLATFORM),
    )
