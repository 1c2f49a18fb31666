"""Interfaces of the components that run a request."""

import contextlib
import dataclasses
from typing import Protocol

from .configuration import Configuration
from .errors import Refusal
from .requests import AdmittedRequest, Answer, StageRequest, StageResult

Outcome = Answer | Refusal


class ConfigurationSource(Protocol):
    """Source of the configuration in force."""

    def current(self) -> Configuration | None:
        """Returns the configuration, or ``None`` before the first one."""


class ServingPermission(Protocol):
    """Permission of the entry to admit new work."""

    def check(self) -> Refusal | None:
        """Returns the refusal of new work, or ``None`` if it is allowed."""


class Admission(Protocol):
    """Decides whether and when a request starts."""

    def admit(
        self,
        admitted: AdmittedRequest,
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Admits a request and counts it until it ends.

        Args:
            admitted: The request.

        Raises:
            RefusalError: If it may not start.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGrant:
    """Permission to run a non-idempotent request, or its earlier outcome."""

    key: str
    attempt_id: str
    outcome: Outcome | None = None


class ClaimGate(Protocol):
    """Ensures that a non-idempotent request runs at most once."""

    async def recall(self, admitted: AdmittedRequest) -> Outcome | None:
        """Returns the outcome of another attempt under the request's key.

        Args:
            admitted: A request that needs a claim.

        Returns:
            The outcome, or ``None`` if no other attempt is known.

        Raises:
            RefusalError: If the key can't be claimed.
        """

    async def acquire(self, admitted: AdmittedRequest) -> ClaimGrant:
        """Claims the request's key before its first non-idempotent call.

        Args:
            admitted: The request.

        Returns:
            A grant. If it has an outcome, no stage may be run.

        Raises:
            RefusalError: If the key can't be claimed.
        """

    async def complete(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Records the outcome of a granted request."""

    async def abandon(self, grant: ClaimGrant, refusal: Refusal) -> None:
        """Abandons the claim of a grant under which nothing was run."""


class StageStore(Protocol):
    """Stores the results of finished stages until their request ends."""

    async def load(self, admitted: AdmittedRequest) -> dict[str, StageResult]:
        """Returns the results of a request's finished stages by stage name."""

    def tokens(self, admitted: AdmittedRequest) -> tuple[str, ...]:
        """Returns the tokens that an earlier run's output stage produced."""

    async def save(
        self,
        admitted: AdmittedRequest,
        result: StageResult,
    ) -> None:
        """Stores the result of a finished stage."""

    async def forget(self, admitted: AdmittedRequest) -> None:
        """Deletes what is stored for a request that has ended."""


class StageRunner(Protocol):
    """Runs single stages until they have a complete result."""

    async def run(self, stage_request: StageRequest) -> StageResult:
        """Runs a stage.

        Args:
            stage_request: The stage and its inputs.

        Returns:
            The complete result.

        Raises:
            RefusalError: If there is no complete result.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineDependencies:
    """The components that a pipeline runner uses."""

    configurations: ConfigurationSource
    permission: ServingPermission
    admission: Admission
    claims: ClaimGate
    store: StageStore
    dispatcher: StageRunner
