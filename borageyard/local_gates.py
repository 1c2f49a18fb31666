"""Gates of an entry that stands alone, without log or peers."""

import contextlib
from collections.abc import AsyncIterator

from .errors import ErrorKind, Ran, Refusal, RefusalError
from .identifiers import new_identifier
from .pipeline import ClaimGrant, Outcome
from .requests import AdmittedRequest, StageResult


class OpenAdmission:
    """Admission of everything."""

    @contextlib.asynccontextmanager
    async def admit(self, admitted: AdmittedRequest) -> AsyncIterator[None]:
        """Lets a request start at once."""
        yield


class LocalClaims:
    """Claims held in the memory of one entry."""

    def __init__(self) -> None:
        """Starts without claims."""
        self._outcomes: dict[str, Outcome | None] = {}

    async def acquire(self, admitted: AdmittedRequest) -> ClaimGrant:
        """Claims a key, or returns what is known of it."""
        key = admitted.request.idempotency_key
        if not key:
            raise RefusalError(Refusal(ErrorKind.KEY_REQUIRED))
        if key not in self._outcomes:
            self._outcomes[key] = None
            return ClaimGrant(key, new_identifier())
        outcome = self._outcomes[key]
        if outcome is None:
            refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN)
            raise RefusalError(refusal)
        return ClaimGrant(key, '', outcome)

    async def complete(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Keeps the outcome for retries."""
        self._outcomes[grant.key] = outcome

    async def abandon(self, grant: ClaimGrant) -> None:
        """Frees the key."""
        self._outcomes.pop(grant.key, None)


class NoStageStore:
    """Stage store that keeps nothing."""

    async def load(self, admitted: AdmittedRequest) -> dict[str, StageResult]:
        """Returns no finished stages."""
        return {}

    async def save(
        self,
        admitted: AdmittedRequest,
        result: StageResult,
    ) -> None:
        """Keeps nothing."""

    async def forget(self, admitted: AdmittedRequest) -> None:
        """Has nothing to drop."""
