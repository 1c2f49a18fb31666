"""Gates of an entry that stands alone, without log or peers."""

import contextlib
from collections.abc import AsyncIterator

from .errors import ErrorKind, Refusal
from .requests import AdmittedRequest, StageResult


class OpenPermission:
    """Serving permission that always holds, until draining ends."""

    def __init__(self) -> None:
        """Starts open."""
        self.closed = False

    def check(self) -> Refusal | None:
        """Returns a refusal once closed."""
        if self.closed:
            return Refusal(ErrorKind.DRAINING)
        return None


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

    async def save(
        self,
        admitted: AdmittedRequest,
        result: StageResult,
    ) -> None:
        """Keeps nothing."""

    async def forget(self, admitted: AdmittedRequest) -> None:
        """Has nothing to drop."""
