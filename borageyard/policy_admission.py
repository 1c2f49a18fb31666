"""Admission of requests by the policy of the entry."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from .admission import decide_admission
from .clock import MS_PER_S
from .errors import ErrorKind, Refusal, RefusalError
from .events import Event, log_event
from .policy import EntryPolicy
from .requests import AdmittedRequest


class PolicyAdmission:
    """Checks quarantine, deadline and rate limit; accounts for costs."""

    def __init__(self, policy: EntryPolicy) -> None:
        """Creates the admission.

        Args:
            policy: Makes the decisions and holds the cost accounts.
        """
        self._policy = policy

    @contextlib.asynccontextmanager
    async def admit(self, admitted: AdmittedRequest) -> AsyncIterator[None]:
        """Admits a request and counts its pending stages until it ends.

        Args:
            admitted: The request.

        Raises:
            RefusalError: If it is quarantined, can't meet its deadline or
                exceeds the limit of its organisation.
        """
        services = [stage.service for stage in admitted.pipeline.stages]
        self._policy.refuse_quarantined(admitted, services)
        if self._policy.options.admission:
            self._require_time(admitted)
            await self._apply_rate_limit(admitted)
        self._add_to_backlog(admitted)
        useful = False
        try:
            yield
            useful = True
        finally:
            self._finish(admitted, useful=useful)

    def _require_time(self, admitted: AdmittedRequest) -> None:
        now_ms = self._policy.clock.steady_ms()
        remaining_ms = admitted.request.expires_at_ms - now_ms
        decision = decide_admission(
            remaining_ms,
            self._policy.stage_estimates(admitted),
        )
        if decision.admitted:
            return
        expected_ms = round(decision.expected_ms)
        refusal = Refusal(
            ErrorKind.DEADLINE_UNREACHABLE,
            detail=f'expected to take {expected_ms} ms',
            retry_after_ms=round(decision.retry_after_ms) + 1,
        )
        raise RefusalError(refusal)

    async def _apply_rate_limit(self, admitted: AdmittedRequest) -> None:
        request = admitted.request
        now_ms = self._policy.clock.steady_ms()
        organisation = admitted.organisation
        remaining_ms = request.expires_at_ms - now_ms
        decision = self._policy.limits.take(
            organisation, now_ms, remaining_ms / 4
        )
        if not decision.allowed:
            refusal = Refusal(
                ErrorKind.LIMIT_EXCEEDED,
                retry_after_ms=round(decision.wait_ms) + 1,
            )
            raise RefusalError(refusal)
        if decision.wait_ms:
            log_event(
                Event.REQUEST_DELAYED,
                request_id=request.request_id,
                wait_ms=decision.wait_ms,
            )
            await asyncio.sleep(decision.wait_ms / MS_PER_S)

    def _add_to_backlog(self, admitted: AdmittedRequest) -> None:
        for stage in admitted.pipeline.stages:
            self._policy.backlog.add(stage.service, admitted.organisation, 1)

    def _finish(self, admitted: AdmittedRequest, *, useful: bool) -> None:
        progress = admitted.progress
        for stage in admitted.pipeline.stages:
            if stage.name not in progress.started_stages:
                self._policy.backlog.add(
                    stage.service,
                    admitted.organisation,
                    -1,
                )
        self._policy.costs.record_stages(progress.stage_costs, useful=useful)
