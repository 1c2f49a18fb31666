"""Properties of a request that are fixed before anything is sent."""

import dataclasses

from .serving_configuration import ServiceRoute


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """Route, service, organisation and deadlines of an admitted request."""

    route: ServiceRoute
    service: str
    organisation: str
    # 0 is the most urgent.
    priority: int
    soft_deadline_at_ms: float
    deadline_at_ms: float
