"""Settings of a gateway process."""

import dataclasses

from .generated.settings import PeerSettings
from .retry_budget import RetryBudgetLimits

# Bounds of streams between entries: a silent peer is passed over before most
# requests that it schedules are late.
PEER_HEARTBEAT_MS = 300
PEER_SILENCE_MS = 1000
# Budget of news for all peers together, from the users' bound on a node.
PEER_GOSSIP_BYTES_PER_S = 3000
# Requests that one peer may have at the scheduler of a group.
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
    """Addresses and bounds of one process."""

    instance_id: str
    failure_domain: str
    # Where callers send requests, ask for readiness and ask for addresses.
    caller_address: str
    ready_address: str
    directory_address: str
    peer_address: str
    # Where counters and histograms are read.
    metrics_address: str
    store_address: str
    retry_budget_limits: RetryBudgetLimits
    # Time between the request to stop and the kill.
    grace_ms: float
    # How long callers may keep the addresses that they are given.
    address_ttl_s: float
