"""What was sent of one request, and what may be said and sent after it."""

import dataclasses

from .errors import ErrorKind, Refusal, RunStatus
from .inbound import SendFailure

# Sends that reached no target or that it did not run; each one is a repeat.
MAX_UNRUN_SENDS = 3
# Time to come back after no target could take a request.
RETRY_AFTER_MS = 300


@dataclasses.dataclass(slots=True)
class SendTally:
    """Sends of one request."""

    ran: int = 0
    unrun: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    sent: bool = False

    def note_failure(self, failure: SendFailure) -> None:
        """Takes in a send without a whole answer.

        Args:
            failure: Whether it may have run.
        """
        if failure is SendFailure.NOT_SENT:
            self.unrun += 1
            self.sent = bool(self.ran)
        else:
            self.ran += 1

    def allows_another(self, max_attempts: int, *, may_rerun: bool) -> bool:
        """Tells whether the request may be sent once more.

        Args:
            max_attempts: Targets that may run it.
            may_rerun: Whether it may run again once it has run.
        """
        if self.ran and not may_rerun:
            return False
        return self.ran < max_attempts and self.unrun <= MAX_UNRUN_SENDS

    def refuse(self, detail: str) -> Refusal:
        """Returns how the request ends without an answer.

        Args:
            detail: What went wrong.
        """
        if self.ran:
            return Refusal(
                ErrorKind.TARGET_FAILED,
                ran=RunStatus.UNKNOWN,
                detail=detail,
            )
        return Refusal(
            ErrorKind.NO_TARGET,
            detail=detail,
            retry_after_ms=RETRY_AFTER_MS,
        )
