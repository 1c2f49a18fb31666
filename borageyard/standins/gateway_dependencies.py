"""Interfaces of a gateway to a stand-in platform."""

from ..clock import SystemClock
from ..gateway import GatewayDependencies
from ..gateway_settings import GatewaySettings
from ..http_client import HttpClient
from ..platform import ingress
from ..platform.answer_match import answer_check
from ..platform.documents import DocumentDecoder
from ..platform.status_client import HttpStatusClient
from ..platform.store import StoreTables
from ..platform.targets import HttpPieceRunner, HttpTargetSender
from ..relayed_client import RelayedClient
from ..target_limits import TargetLimits
from ..target_probe import ConnectProbe
from .target_partition import TargetPartition


def build_dependencies(
    settings: GatewaySettings, client: HttpClient, partition: TargetPartition
) -> GatewayDependencies:
    """Returns the interfaces.

    Args:
        settings: Settings of the gateway.
        client: HTTP client of the gateway.
        partition: Opens its connections, and may cut those to targets.
    """
    clock = SystemClock()
    limits = TargetLimits(clock)
    calls = RelayedClient(client)
    return GatewayDependencies(
        tables=StoreTables(client, settings.store_address),
        decoder=DocumentDecoder(),
        sender=HttpTargetSender(calls, limits),
        runner=HttpPieceRunner(calls, limits),
        probe=ConnectProbe(HttpStatusClient(calls), partition.connect),
        calls=calls,
        answer_check=answer_check,
        codec=ingress,
        limits=limits,
        clock=clock,
    )
