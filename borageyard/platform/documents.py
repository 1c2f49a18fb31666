"""Decodes records of the platform's store: configuration and targets."""

import json
from collections.abc import Mapping
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

from ..clock import MS_PER_S
from ..decoded_items import DecodedItems
from ..document_validation import check_document, parse_json
from ..field_checks import (
    MAX_INTEGER,
    Address,
    Clamped,
    Count,
    Name,
    check_id,
    parse_64_bits,
)
from ..machine_capacity.machine_limits import Lenient
from ..roster import RosterRow, TargetPhase
from ..serving_configuration import (
    Backend,
    BatchLimits,
    CallerLimits,
    ColdStart,
    EngineLimits,
    RequestKind,
    RouteStage,
    ServedOrganisation,
    ServiceRoute,
    ServingConfiguration,
    TargetService,
)

BYTES_PER_MB = 1_000_000
CONFIGURATION_SOURCE = 'configuration'
TARGET_DECODER = json.JSONDecoder(parse_int=parse_64_bits)


class _Fields(BaseModel):
    model_config = ConfigDict(
        extra='ignore', populate_by_name=True, allow_inf_nan=False
    )


class _Stage(_Fields):
    service: str
    after: list[int] = []
    # Size of one result, in bytes.
    result_bytes: Annotated[float, Field(alias='bytes')] = 0


class _Backend(_Fields):
    service: str
    weight: float = 1


class _Route(_Fields):
    name: str = ''
    host: str
    path_prefix: Annotated[str, Field(alias='pathPrefix')]
    kind: str
    timeout_ms: Annotated[float, Field(alias='timeoutMs')]
    target_latency_ms: Annotated[float, Field(alias='targetLatencyMs')] = 0
    priority: Clamped = 0
    service: str = ''
    backends: Annotated[list[_Backend], Field(alias='weightedBackends')] = []
    max_attempts: Annotated[Clamped, Field(alias='maxAttempts')] = 1
    stages: list[_Stage] = []
    allow_anonymous: Annotated[bool, Field(alias='allowAnonymous')] = False
    # Set on routes whose requests declare the parts of their prompt.
    has_prompt: Annotated[bool, Field(alias='sessionAffinity')] = False
    resumable: Annotated[bool, Field(alias='streamResume')] = False
    pause_ms: Annotated[float, Field(alias='gapAimMs')] = 0


class _Pieces(_Fields):
    slots: Clamped = 1
    queue: Clamped = 0
    # Maximum number of pieces in a call.
    size: Annotated[Clamped, Field(alias='batch')] = 1
    call_ms: Annotated[float, Field(alias='callMs')] = 0
    piece_ms: Annotated[float, Field(alias='itemMs')] = 0
    # Memory available for results, not a reserve.
    room_mb: Annotated[float, Field(alias='headroomMb')] = 0
    # Time for which a result is kept after its call.
    keep_s: Annotated[float, Field(alias='handleS')] = 0


class _Engine(_Fields):
    slots: Clamped = 0
    # Number of tokens that fit in the memory of an engine.
    memory_tokens: Annotated[Clamped, Field(alias='kvCapacity')] = 0


class _Service(_Fields):
    name: str
    max_connections: Annotated[Clamped, Field(alias='maxConnections')] = 0
    cold_s: Annotated[Lenient, Field(alias='coldStartS')] = None
    cold_per_s: Annotated[Lenient, Field(alias='coldPerS')] = None
    pieces: _Pieces | None = None
    engine: _Engine | None = None


class _Limits(_Fields):
    max_header_bytes: Annotated[Clamped, Field(alias='maxHeaderBytes')] = 16384
    max_body_bytes: Annotated[Clamped, Field(alias='maxBodyBytes')] = 4194304
    header_timeout_ms: Annotated[Clamped, Field(alias='headerTimeoutMs')] = 3000
    idle_timeout_ms: Annotated[Clamped, Field(alias='idleTimeoutMs')] = 15000


class _Tenant(_Fields):
    name: str
    keys: Annotated[list[str], Field(alias='apiKeys')] = []
    priority: Clamped | None = None


class _Configuration(_Fields):
    version: Count
    # Decoded one by one, as most are those of the version before.
    routes: list[dict[str, Any]] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _Target(BaseModel):
    model_config = ConfigDict(extra='ignore', strict=True)

    service: Name
    address: Address
    zone: Name
    state: Literal['ready', 'draining']
    # Version of the software, not of the weights.
    version: Name = ''
    slots: Annotated[Count, Field(gt=0)]
    # Number of the announcement since the process started.
    sequence: Count = 0
    # Start time of the process in Unix milliseconds.
    born: Count = 0
    cold_left_ms: Annotated[
        float, Field(alias='coldLeftMs', ge=-MAX_INTEGER, le=MAX_INTEGER)
    ] = 0


class DocumentDecoder:
    """Decodes the platform's documents into internal types."""

    def __init__(self) -> None:
        """Starts without a document."""
        self._routes = DecodedItems(_decode_declared)

    def configuration(self, content: bytes) -> ServingConfiguration:
        """Decodes the operator's configuration document.

        Args:
            content: JSON document, as stored.

        Raises:
            DocumentError: If the document is malformed.
        """
        document = check_document(
            _Configuration,
            parse_json(content, CONFIGURATION_SOURCE),
            CONFIGURATION_SOURCE,
        )
        keys = None
        if document.tenants is not None:
            keys = {
                key: ServedOrganisation(tenant.name, tenant.priority)
                for tenant in document.tenants
                for key in tenant.keys
            }
        return ServingConfiguration(
            version=document.version,
            routes=self._routes.decode(
                document.routes, f'{CONFIGURATION_SOURCE}.routes'
            ),
            services={
                service.name: _decode_service(service)
                for service in document.services
            },
            limits=CallerLimits(
                document.limits.max_header_bytes,
                document.limits.max_body_bytes,
                document.limits.header_timeout_ms,
                document.limits.idle_timeout_ms,
            ),
            keys=keys,
        )

    def target(self, target_id: str, content: bytes) -> RosterRow:
        """Decodes the announcement of a target.

        Args:
            target_id: Key of the record.
            content: JSON document, as stored.

        Raises:
            DocumentError: If the record does not describe a target.
        """
        source = f'target {target_id}'
        check_id(target_id, source)
        # Targets state no number beyond 64 bits, in any field.
        fields = parse_json(content, source, TARGET_DECODER)
        document = check_document(_Target, fields, source)
        return RosterRow(
            target_id=target_id,
            service=document.service,
            address=document.address,
            failure_domain=document.zone,
            phase=TargetPhase(document.state),
            slots=document.slots,
            incarnation=document.born,
            announcement_number=document.sequence,
            software_version=document.version,
            cold_left_ms=max(document.cold_left_ms, 0),
        )


def _decode_declared(fields: Mapping[str, Any], source: str) -> ServiceRoute:
    return _decode_route(check_document(_Route, fields, source))


def _decode_route(route: _Route) -> ServiceRoute:
    backends = tuple(
        Backend(backend.service, backend.weight) for backend in route.backends
    )
    return ServiceRoute(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_decode_kind(route.kind),
        timeout_ms=route.timeout_ms,
        target_latency_ms=route.target_latency_ms,
        backends=backends or (Backend(route.service),),
        priority=route.priority,
        max_attempts=max(route.max_attempts, 1),
        stages=tuple(
            RouteStage(stage.service, tuple(stage.after), stage.result_bytes)
            for stage in route.stages
        ),
        allow_anonymous=route.allow_anonymous,
        has_prompt=route.has_prompt,
        resumable=route.resumable,
        target_event_gap_ms=route.pause_ms,
    )


def _decode_kind(kind: str) -> RequestKind:
    """Returns the kind of a route; an unknown kind is never retried."""
    kinds_by_name = {member.value: member for member in RequestKind}
    return kinds_by_name.get(kind, RequestKind.NON_IDEMPOTENT)


def _decode_service(service: _Service) -> TargetService:
    batch = None
    if service.pieces is not None:
        pieces = service.pieces
        batch = BatchLimits(
            slots=max(pieces.slots, 1),
            queue=pieces.queue,
            size=max(pieces.size, 1),
            call_ms=pieces.call_ms,
            piece_ms=pieces.piece_ms,
            result_memory_bytes=pieces.room_mb * BYTES_PER_MB,
            keep_ms=pieces.keep_s * MS_PER_S,
        )
    engine = None
    if service.engine is not None:
        engine = EngineLimits(
            service.engine.slots,
            service.engine.memory_tokens,
        )
    return TargetService(
        service.name,
        service.max_connections,
        batch,
        engine,
        ColdStart((service.cold_s or 0) * MS_PER_S, service.cold_per_s or 0),
    )
