"""The gates that a request passes, as protocols."""

import contextlib
import dataclasses
from typing import Protocol

from .configuration import Configuration
from .errors import Refusal
from .requests import AdmittedRequest, Answer, StageRequest, StageResult

Outcome = Answer | Refusal


class ConfigurationSource(Protocol):
    """Tells the configuration in force."""

    def current(self) -> Configuration | None:
        """Returns the configuration, or none before one is known."""


class ServingPermission(Protocol):
    """Tells whether the entry may admit new work."""

    def check(self) -> Refusal | None:
        """Returns why work may not be admitted, or none if it may."""


class Admission(Protocol):
    """Decides which requests start and when."""

    def admit(
        self,
        admitted: AdmittedRequest,
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Holds the request's place from its start to its end.

        Args:
            admitted: The request.

        Raises:
            RefusalError: If it may not start.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGrant:
    """Leave to run a non-idempotent request, or its known outcome."""

    key: str
    attempt_id: str
    outcome: Outcome | None = None


class ClaimGate(Protocol):
    """Lets a non-idempotent request run at most once."""

    async def recall(self, admitted: AdmittedRequest) -> Outcome | None:
        """Returns how another attempt of the request's key ends.

        Args:
            admitted: A request that needs a claim.

        Returns:
            The outcome, or none if no other attempt is known.

        Raises:
            RefusalError: If the key can't be claimed.
        """

    async def acquire(self, admitted: AdmittedRequest) -> ClaimGrant:
        """Claims the request's key before its first unrepeatable call.

        Args:
            admitted: The request.

        Returns:
            A grant; if it carries an outcome, nothing may be run.

        Raises:
            RefusalError: If the key can't be claimed.
        """

    async def complete(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Records how a granted request ended."""

    async def abandon(self, grant: ClaimGrant, refusal: Refusal) -> None:
        """Gives a grant up under which nothing was run."""


class StageStore(Protocol):
    """Keeps finished stage results until their request ends."""

    async def load(self, admitted: AdmittedRequest) -> dict[str, StageResult]:
        """Returns the finished stages of a request by name."""

    def tokens(self, admitted: AdmittedRequest) -> tuple[str, ...]:
        """Returns the tokens of the output stage that are known already."""

    async def save(
        self,
        admitted: AdmittedRequest,
        result: StageResult,
    ) -> None:
        """Keeps a finished stage."""

    async def forget(self, admitted: AdmittedRequest) -> None:
        """Drops what was kept for a request that has ended."""


class StageRunner(Protocol):
    """Runs one stage to its whole result."""

    async def run(self, stage_request: StageRequest) -> StageResult:
        """Runs a stage.

        Args:
            stage_request: The stage and its inputs.

        Raises:
            RefusalError: If there is no whole result.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineDependencies:
    """Everything that a request passes on its way."""

    configurations: ConfigurationSource
    permission: ServingPermission
    admission: Admission
    claims: ClaimGate
    store: StageStore
    dispatcher: StageRunner
