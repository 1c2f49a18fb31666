"""How far a request has come, and what its caller may be told of it."""

import dataclasses
from collections.abc import Mapping

from .configuration import Pipeline
from .errors import Ran, Refusal
from .pipeline_interfaces import ClaimGrant
from .requests import AdmittedRequest, Answer, StageResult


@dataclasses.dataclass(slots=True)
class RunState:
    """How far a request has come."""

    results: dict[str, StageResult] = dataclasses.field(default_factory=dict)
    grant: ClaimGrant | None = None
    ran: Ran = Ran.NOT_RUN
    tokens: tuple[str, ...] = ()


def ran_before(
    admitted: AdmittedRequest,
    results: Mapping[str, StageResult],
) -> Ran:
    """Tells whether an earlier run did what may not be repeated."""
    ran = admitted.non_idempotent_stages & results.keys()
    return Ran.RAN if ran else Ran.NOT_RUN


def with_stages_ran(refusal: Refusal, state: RunState) -> Refusal:
    """Returns a refusal that tells which stages ran."""
    ran = refusal.ran if state.ran is Ran.NOT_RUN else state.ran
    if refusal.ran is Ran.UNKNOWN:
        ran = Ran.UNKNOWN
    return dataclasses.replace(
        refusal,
        ran=ran,
        stages_ran=tuple(state.results),
    )


def build_answer(admitted: AdmittedRequest, state: RunState) -> Answer:
    """Returns the whole answer of a finished request."""
    pipeline: Pipeline = admitted.pipeline
    return Answer(
        request_id=admitted.request.request_id,
        pipeline=pipeline.name,
        configuration_version=admitted.configuration.version,
        output=state.results[pipeline.output].output,
        stages=tuple(state.results.values()),
    )
