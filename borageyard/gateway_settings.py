"""Settings of a gateway process."""

import dataclasses

from .fleet_sync import DEFAULT_BOUNDS, SyncBounds
from .generated.settings import PeerSettings
from .machine_capacity.machine_limits import (
    NO_COLD_BURST,
    UNKNOWN_MACHINE,
    ColdBurst,
    MachineLimits,
)
from .retry_budget import RetryBudgetLimits

# Peer streams: a silent peer must be skipped before most of the requests that
# it schedules are late.
PEER_HEARTBEAT_MS = 300
PEER_SILENCE_MS = 1000
# Gossip budget for all peers together, from the users' limit for a node.
PEER_GOSSIP_BYTES_PER_S = 3000
# Requests that one peer may have open at the scheduler of a group.
MAX_PEER_REQUESTS = 2048
PEER_SETTINGS = PeerSettings(
    news_interval_ms=PEER_HEARTBEAT_MS,
    heartbeat_ms=PEER_HEARTBEAT_MS,
    silence_ms=PEER_SILENCE_MS,
    connect_timeout_ms=PEER_HEARTBEAT_MS,
    news_bytes_per_s=PEER_GOSSIP_BYTES_PER_S,
    max_requests=MAX_PEER_REQUESTS,
    max_queued_frames=MAX_PEER_REQUESTS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses and limits of one gateway process."""

    instance_id: str
    failure_domain: str
    # Listen addresses for requests, readiness checks and entry discovery.
    caller_address: str
    ready_address: str
    directory_address: str
    peer_address: str
    # Listen address for metrics.
    metrics_address: str
    store_address: str
    retry_budget_limits: RetryBudgetLimits
    # Time between the stop signal and the kill.
    grace_ms: float
    # Time for which callers may cache entry addresses.
    address_ttl_s: float
    machine: MachineLimits = UNKNOWN_MACHINE
    # Whether organisations compete for scarce room: their shares are kept, and
    # callers are told when there is room for them.
    competing_callers: bool = False
    cold_burst: ColdBurst = NO_COLD_BURST
    sync_bounds: SyncBounds = DEFAULT_BOUNDS
