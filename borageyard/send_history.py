"""Sends of one request, and the retry or refusal that they permit."""

import dataclasses

from .errors import ErrorKind, Refusal, RunStatus
from .inbound import SendFailure
from .roster import RosterRow
from .send_trace import REPEATED_SENDS

# After up to this many sends that reached no target, or that the target did
# not run, another send is allowed. Each such additional send is a retry.
MAX_SENDS_NOT_RUN = 3
# Time after which a caller may retry if no target accepted its request.
RETRY_AFTER_MS = 300


@dataclasses.dataclass(slots=True)
class SendHistory:
    """Outcomes of the sends of one request.

    Attributes:
        possible_runs: Number of sends that may have run.
        sends_not_run: Number of sends that certainly did not run.
        tried: Ids of the targets that were sent to.
        open_sends: Number of sends whose outcome isn't known. One that is
            cancelled stays open.
        first_sent_at_ms: Monotonic time of the first send; None before it.
        permit_wait_ms: Time until a target with a limit may permit a send;
            None if no limit prevented one.
    """

    possible_runs: int = 0
    sends_not_run: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    open_sends: int = 0
    first_sent_at_ms: float | None = None
    permit_wait_ms: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request, or may run it yet."""
        return bool(self.possible_runs or self.open_sends)

    def note_sent(self, target: RosterRow, now_ms: float) -> None:
        """Records that a send begins.

        Args:
            target: Target that is sent to.
            now_ms: Monotonic time.
        """
        if target.target_id in self.tried:
            REPEATED_SENDS[target.service] += 1
        self.tried.add(target.target_id)
        self.open_sends += 1
        if self.first_sent_at_ms is None:
            self.first_sent_at_ms = now_ms

    def note_failure(self, failure: SendFailure) -> None:
        """Records the end of a send that got no complete answer.

        Args:
            failure: Whether the request may have run.
        """
        self.open_sends -= 1
        if failure is SendFailure.NOT_SENT:
            self.sends_not_run += 1
        else:
            self.possible_runs += 1

    def note_answer(self) -> None:
        """Records the end of a send that got a complete answer."""
        self.open_sends -= 1
        self.possible_runs += 1

    def note_limited(self, wait_ms: float) -> None:
        """Records a target whose limit permits no send now.

        Args:
            wait_ms: Time until it may permit one.
        """
        known_ms = self.permit_wait_ms
        self.permit_wait_ms = min(wait_ms, known_ms or wait_ms)

    def allows_another_send(
        self, max_attempts: int, *, may_rerun: bool
    ) -> bool:
        """Returns whether the request may be sent again.

        Args:
            max_attempts: Maximum number of sends that may run.
            may_rerun: Whether the request may run more than once.
        """
        if self.possible_runs and not may_rerun:
            return False
        return (
            self.possible_runs < max_attempts
            and self.sends_not_run <= MAX_SENDS_NOT_RUN
        )

    def build_refusal(self, detail: str) -> Refusal:
        """Returns the refusal of a request that got no answer.

        Args:
            detail: Description of the error.
        """
        if self.may_have_run:
            return Refusal(
                ErrorKind.TARGET_FAILED,
                ran=RunStatus.UNKNOWN,
                detail=detail,
            )
        return Refusal(
            ErrorKind.NO_TARGET,
            detail=detail,
            retry_after_ms=round(self.permit_wait_ms or RETRY_AFTER_MS),
        )
