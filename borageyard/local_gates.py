"""Gates of an entry that stands alone, without log or peers."""

import contextlib
from collections.abc import AsyncIterator

from .requests import AdmittedRequest, StageResult


class OpenAdmission:
    """Admission of everything."""

    @contextlib.asynccontextmanager
    async def admit(self, admitted: AdmittedRequest) -> AsyncIterator[None]:
        """Lets a request start at once."""
        yield


class NoStageStore:
    """Stage store that keeps nothing."""

    async def load(self, admitted: AdmittedRequest) -> dict[str, StageResult]:
        """Returns no finished stages."""
        return {}

    def tokens(self, admitted: AdmittedRequest) -> tuple[str, ...]:
        """Returns no tokens."""
        return ()

    async def save(
        self,
        admitted: AdmittedRequest,
        result: StageResult,
    ) -> None:
        """Keeps nothing."""

    async def forget(self, admitted: AdmittedRequest) -> None:
        """Has nothing to drop."""
