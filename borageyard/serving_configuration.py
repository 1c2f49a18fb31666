"""Serving configuration: routes, services and organisations."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping


class RequestKind(enum.Enum):
    """What may be repeated of the requests on a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class RouteStage:
    """Work that is done in pieces before a request can run."""

    service: str
    # Numbers of the stages whose results this one needs.
    after: tuple[int, ...] = ()
    result_bytes: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A service of a route and its part of the traffic."""

    service: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Which service answers the requests under a path."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    target_latency_ms: float
    backends: tuple[Backend, ...]
    # 0 is the most urgent.
    priority: int = 0
    max_attempts: int = 1
    stages: tuple[RouteStage, ...] = ()
    allow_anonymous: bool = False
    # Whether the requests state their tokens and the parts of their prompt.
    has_prompt: bool = False
    resumable: bool = False
    # Longest pause between events of an answer that is still on time.
    target_event_gap_ms: float = 0

    @property
    def repeatable(self) -> bool:
        """Tells whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    @property
    def streams(self) -> bool:
        """Tells whether answers are streams of events."""
        return self.kind is RequestKind.STREAMING


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLimits:
    """How a target of a service runs pieces."""

    # Calls that run at the same time, and those that may wait.
    slots: int
    queue: int
    # Pieces of a call.
    size: int
    call_ms: float
    piece_ms: float
    # Memory for results, and how long a result is kept.
    result_memory_bytes: float
    keep_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLimits:
    """What a target of a model service holds."""

    slots: int
    memory_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetService:
    """A service that the targets belong to."""

    name: str
    max_connections: int = 0
    batch: BatchLimits | None = None
    engine: EngineLimits | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServedOrganisation:
    """A customer, as its key names it."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServingConfiguration:
    """One version of what the operator declared."""

    version: int
    routes: tuple[ServiceRoute, ...]
    services: Mapping[str, TargetService]
    limits: CallerLimits
    # Organisations by key; none where requests need no key.
    keys: Mapping[str, ServedOrganisation] | None = None

    def find_route(self, host: str, path: str) -> ServiceRoute | None:
        """Returns the route with the longest prefix of a path.

        Args:
            host: Host that the request names, without a port.
            path: Path of the request.
        """
        fitting = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(
            fitting,
            key=lambda route: len(route.path_prefix),
            default=None,
        )


def group_services(routes: Iterable[ServiceRoute]) -> Mapping[str, str]:
    """Returns the group of each service: those that routes use together.

    Work on the services of a group is scheduled in one place.

    Args:
        routes: All routes.

    Returns:
        Name of the group by service: the first of its services.
    """
    groups: dict[str, frozenset[str]] = {}
    for route in routes:
        used = {backend.service for backend in route.backends}
        used.update(stage.service for stage in route.stages)
        joined = frozenset(used).union(
            *(groups.get(service, frozenset()) for service in used),
        )
        groups.update(dict.fromkeys(joined, joined))
    return {service: min(members) for service, members in groups.items()}
