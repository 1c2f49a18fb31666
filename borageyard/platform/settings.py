"""Reads the settings file that the platform writes for a process."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from ..clock import MS_PER_S
from ..document_validation import check_document, load_json
from ..fleet_sync import SyncBounds
from ..gateway_settings import GatewaySettings
from ..machine_capacity.machine_limits import (
    Lenient,
    build_cold_burst,
    build_machine_limits,
)
from ..retry_budget import RetryBudgetLimits

SETTINGS_VARIABLE = 'BORAGEYARD_BOOT'
# Must match the port in deploy/system.toml.
METRICS_PORT = 9102
# Maximum time for which callers are told to cache addresses. It is below the
# platform's limit, because a leaving entry may still receive requests for up to
# three times as long.
ADDRESS_TTL_S = 2
COMPETING_CONTRACT = 'pressure'


class _Fields(BaseModel):
    model_config = ConfigDict(extra='ignore')


class _Listen(_Fields):
    front: str
    ready: str
    directory: str


class _Bounds(_Fields):
    # Retry budget of all entries together: share of requests, and additional
    # retries.
    retry_ratio: Annotated[float, Field(alias='retryBudgetRatio')] = 0.1
    retry_window_s: Annotated[float, Field(alias='budgetWindowS')] = 10
    retry_extra: Annotated[float, Field(alias='budgetExtraRetries')] = 10
    # Time between the stop signal and the kill.
    grace_s: Annotated[float, Field(alias='graceS')] = 8
    address_ttl_s: Annotated[float, Field(alias='ttl_max_s')] = ADDRESS_TTL_S
    # Requests that a cold target may get in a second: a multiple of its rate,
    # and additional ones.
    configuration_ms: Annotated[float, Field(alias='configApplyMs')] = 2000
    departure_ms: Annotated[float, Field(alias='drainMs')] = 2000
    cold_overrun: Annotated[Lenient, Field(alias='coldOverrun')] = None
    cold_slack: Annotated[Lenient, Field(alias='coldSlack')] = None


class _Limits(_Fields):
    core_share: Annotated[Lenient, Field(alias='cpuShare')] = None
    cores: Lenient = None
    memory_mb: Annotated[Lenient, Field(alias='memoryMb')] = None
    max_fds: Annotated[Lenient, Field(alias='maxFds')] = None
    link_mbps: Annotated[Lenient, Field(alias='linkMbps')] = None


class _Store(_Fields):
    address: str


class _NodeFile(_Fields):
    instance_id: Annotated[str, Field(alias='nodeName')]
    ip: str
    failure_domain: Annotated[str, Field(alias='zone')]
    listen: _Listen
    # First and last port for peer streams.
    peer_ports: Annotated[
        list[int],
        Field(alias='internalPorts', min_length=2),
    ]
    limits: _Limits = _Limits()
    # Parts of the platform's rules that are in force.
    contracts: list[str] = []
    bounds: _Bounds = _Bounds()
    store: Annotated[_Store, Field(alias='platform')]


def load_settings(path: str) -> GatewaySettings:
    """Reads the settings of this process.

    Args:
        path: Path of the JSON file.

    Raises:
        DocumentError: If the file cannot be read or a field is invalid.
    """
    node = check_document(_NodeFile, load_json(path), path)
    bounds = node.bounds
    limits = node.limits
    return GatewaySettings(
        instance_id=node.instance_id,
        failure_domain=node.failure_domain,
        caller_address=node.listen.front,
        ready_address=node.listen.ready,
        directory_address=node.listen.directory,
        peer_address=f'{node.ip}:{node.peer_ports[0]}',
        metrics_address=f'{node.ip}:{METRICS_PORT}',
        store_address=node.store.address,
        retry_budget_limits=RetryBudgetLimits(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window_ms=bounds.retry_window_s * MS_PER_S,
        ),
        grace_ms=bounds.grace_s * MS_PER_S,
        address_ttl_s=min(bounds.address_ttl_s, ADDRESS_TTL_S),
        machine=build_machine_limits(
            core_share=limits.core_share,
            cores=limits.cores,
            memory_mb=limits.memory_mb,
            max_descriptors=limits.max_fds,
            link_mbps=limits.link_mbps,
        ),
        competing_callers=COMPETING_CONTRACT in node.contracts,
        sync_bounds=SyncBounds(bounds.configuration_ms, bounds.departure_ms),
        cold_burst=build_cold_burst(bounds.cold_overrun, bounds.cold_slack),
    )
