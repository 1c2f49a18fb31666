"""Interfaces of a gateway to the users' platform."""

from ..clock import SystemClock
from ..failure_domains.cold_targets import ColdTargets
from ..gateway import GatewayDependencies
from ..gateway_settings import GatewaySettings
from ..http_client import HttpClient
from ..http_streams import Connect, open_stream
from ..relayed_client import RelayedClient
from ..target_departures import TargetDepartures
from ..target_limits import TargetLimits
from ..target_probe import ConnectProbe
from . import ingress
from .answer_match import answer_check
from .answer_notices import AnswerNotices
from .documents import DocumentDecoder
from .status_client import HttpStatusClient
from .store import StoreTables
from .targets import HttpPieceRunner, HttpTargetSender


def build_dependencies(
    settings: GatewaySettings,
    client: HttpClient,
    connect: Connect = open_stream,
) -> GatewayDependencies:
    """Returns the interfaces.

    Args:
        settings: Settings of the gateway.
        client: HTTP client of the gateway.
        connect: Opens the connections that probe targets.
    """
    clock = SystemClock()
    limits = TargetLimits(clock)
    departures = TargetDepartures(clock)
    cold = ColdTargets(limits, clock, settings.cold_burst)
    notices = AnswerNotices(limits, departures, cold)
    calls = RelayedClient(client)
    return GatewayDependencies(
        tables=StoreTables(client, settings.store_address),
        decoder=DocumentDecoder(),
        sender=HttpTargetSender(calls, notices),
        runner=HttpPieceRunner(calls, notices),
        probe=ConnectProbe(HttpStatusClient(calls, notices), connect),
        calls=calls,
        answer_check=answer_check,
        codec=ingress,
        limits=limits,
        cold=cold,
        departures=departures,
        clock=clock,
    )
