"""Serving configuration: routes, services and organisations."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping, Sequence


class RequestKind(enum.Enum):
    """Kind of the requests of a route: whether they may run again or stream."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class RouteStage:
    """Stage that runs in pieces before a request can run."""

    service: str
    # Numbers of the stages whose results are inputs of this one.
    after: tuple[int, ...] = ()
    result_bytes: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A service of a route and its share of the traffic."""

    service: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Route that maps requests under a path to services."""

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
    # Whether requests declare their token counts and prompt parts.
    has_prompt: bool = False
    resumable: bool = False
    # Longest gap between two events of an answer that counts as on time.
    target_event_gap_ms: float = 0

    @property
    def repeatable(self) -> bool:
        """Returns whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    @property
    def streams(self) -> bool:
        """Returns whether answers are event streams."""
        return self.kind is RequestKind.STREAMING


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLimits:
    """Limits and costs of the calls that a batching target runs."""

    # Calls that may run concurrently, and calls that may wait.
    slots: int
    queue: int
    # Maximum number of pieces in a call.
    size: int
    # Fixed time of a call, and the time that each piece adds to it.
    call_ms: float
    piece_ms: float
    # Memory for results, and the time for which a result is kept.
    result_memory_bytes: float
    keep_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of one target of a model service."""

    # Requests that it runs at once; 0 if that is not declared.
    slots: int
    memory_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStart:
    """Requests that a target sustains until it is warm."""

    # Time for which it is cold after its start.
    duration_ms: float = 0
    # Requests a second from all entries together; 0 for no limit.
    requests_per_s: float = 0


WARM_START = ColdStart()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetService:
    """Service that targets belong to."""

    name: str
    max_connections: int = 0
    batch: BatchLimits | None = None
    engine: EngineLimits | None = None
    cold_start: ColdStart = WARM_START


@dataclasses.dataclass(frozen=True, slots=True)
class ServedOrganisation:
    """Organisation that an API key belongs to."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServingConfiguration:
    """One version of the configuration that the operator declared."""

    version: int
    routes: tuple[ServiceRoute, ...]
    services: Mapping[str, TargetService]
    limits: CallerLimits
    # Organisations by API key; None if requests need no key.
    keys: Mapping[str, ServedOrganisation] | None = None
    # Routes by host and prefix, and the lengths of prefixes by host, the
    # longest first.
    _routes_by_prefix: dict[tuple[str, str], ServiceRoute] = dataclasses.field(
        init=False, repr=False, compare=False, default_factory=dict
    )
    _prefix_lengths: dict[str, Sequence[int]] = dataclasses.field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Indexes the routes; the first one of a prefix counts."""
        lengths: dict[str, set[int]] = {}
        for route in self.routes:
            prefix = route.path_prefix
            self._routes_by_prefix.setdefault((route.host, prefix), route)
            lengths.setdefault(route.host, set()).add(len(prefix))
        self._prefix_lengths.update(
            (host, sorted(found, reverse=True))
            for host, found in lengths.items()
        )

    def find_route(self, host: str, path: str) -> ServiceRoute | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
            host: Host of the request, without the port.
            path: Path of the request.
        """
        for length in self._prefix_lengths.get(host, ()):
            route = self._routes_by_prefix.get((host, path[:length]))
            if route is not None:
                return route
        return None


def group_services(routes: Iterable[ServiceRoute]) -> Mapping[str, str]:
    """Groups the services that routes use together.

    The work of all services of a group is scheduled by one entry.

    Args:
        routes: All routes.

    Returns:
        Name of the group by service. It is the group's service whose name
        sorts first.
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


def schedule_groups(routes: Iterable[ServiceRoute]) -> Mapping[str, str]:
    """Returns the group of each service, whose scheduler it has.

    The services of streaming routes form groups. All other services join the
    first group: their sends need no schedule, but targets that limit their
    requests need one entry that issues the permits.

    Args:
        routes: All routes.
    """
    used = tuple(routes)
    groups = group_services(route for route in used if route.streams)
    others = group_services(used).keys() - groups.keys()
    home = min(groups.values(), default=min(others, default=''))
    return {**groups, **dict.fromkeys(others, home)}
