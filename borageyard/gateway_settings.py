"""Settings of a gateway process."""

import dataclasses

from .retry_window import RetryTerms


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
    retry_terms: RetryTerms
    # Time between the request to stop and the kill.
    grace_ms: float
    # How long callers may keep the addresses that they are given.
    address_ttl_s: float
