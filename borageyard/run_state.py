"""Progress of a request, and the refusal or answer built from it."""

import dataclasses
from collections.abc import Mapping

from .configuration import Pipeline
from .errors import Refusal, RunStatus
from .pipeline_interfaces import ClaimGrant
from .requests import AdmittedRequest, Answer, StageResult


@dataclasses.dataclass(slots=True)
class RunState:
    """State of a running request.

    ``results`` are by stage name; ``ran`` covers the non-idempotent stages,
    and ``tokens`` are those of the output stage in an earlier run.
    """

    results: dict[str, StageResult] = dataclasses.field(default_factory=dict)
    grant: ClaimGrant | None = None
    ran: RunStatus = RunStatus.NOT_RUN
    tokens: tuple[str, ...] = ()


def earlier_run_status(
    admitted: AdmittedRequest,
    results: Mapping[str, StageResult],
) -> RunStatus:
    """Returns whether an earlier run finished a non-idempotent stage."""
    ran = admitted.non_idempotent_stages & results.keys()
    return RunStatus.RAN if ran else RunStatus.NOT_RUN


def with_stages_ran(refusal: Refusal, state: RunState) -> Refusal:
    """Returns a copy of a refusal that states which stages ran.

    An unknown status of the refusal is kept.
    """
    ran = refusal.ran if state.ran is RunStatus.NOT_RUN else state.ran
    if refusal.ran is RunStatus.UNKNOWN:
        ran = RunStatus.UNKNOWN
    return dataclasses.replace(
        refusal,
        ran=ran,
        stages_ran=tuple(state.results),
    )


def build_answer(admitted: AdmittedRequest, state: RunState) -> Answer:
    """Returns the answer to a request whose stages all have results."""
    pipeline: Pipeline = admitted.pipeline
    return Answer(
        request_id=admitted.request.request_id,
        pipeline=pipeline.name,
        configuration_version=admitted.configuration.version,
        output=state.results[pipeline.output].output,
        stages=tuple(state.results.values()),
    )
