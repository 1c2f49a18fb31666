"""How a request reached a target: connection, answer and counts."""

import collections
import dataclasses
from collections.abc import Callable

from .events import Event, log_event

# Sends of this process that were not run, by what shows that.
SENDS_NOT_RUN: collections.Counter[str] = collections.Counter()
# Sends to targets that had been sent the request before, by service.
REPEATED_SENDS: collections.Counter[str] = collections.Counter()
NOT_SENT = 'not_sent'


@dataclasses.dataclass(slots=True)
class SendTrace:
    """Path of one send, filled in while it is made.

    Attributes:
        connection_id: Number of the connection in this process; 0 without one.
        call_number: Number of the call on its connection, from 1.
        sent_before: Whether the connection had carried the request before.
        peer_id: Peer that makes the call; empty for calls of this entry.
        answer_match: What ties the answer to the request: ``own`` if it names
            the request, ``unnamed``; empty without an answer.
        on_resend: Called when the client sends it again by itself, after a
            kept connection turned out to be closed.
    """

    connection_id: int = 0
    call_number: int = 0
    sent_before: bool = False
    peer_id: str = ''
    answer_match: str = ''
    on_resend: Callable[[], None] | None = None

    def note_sent(
        self, connection_id: int, call_number: int, *, sent_before: bool
    ) -> None:
        """Records the connection of a send.

        Args:
            connection_id: Number of the connection.
            call_number: Number of the call on it.
            sent_before: Whether it had carried the request before.
        """
        if self.connection_id and self.on_resend is not None:
            self.on_resend()
        self.connection_id = connection_id
        self.call_number = call_number
        self.sent_before = sent_before
        self.answer_match = ''


def log_failed_send(
    request_id: str,
    target_id: str,
    failure: str,
    reason: str,
    trace: SendTrace,
) -> None:
    """Logs and counts a send that got no whole answer.

    Args:
        request_id: Id of the request.
        target_id: Id of the target.
        failure: Whether the request may have run.
        reason: Description of the error.
        trace: Path of the send.
    """
    if failure == NOT_SENT:
        SENDS_NOT_RUN[trace.answer_match or NOT_SENT] += 1
    log_event(
        Event.SEND_FAILED,
        request_id=request_id,
        target_id=target_id,
        failure=failure,
        reason=reason,
        connection_id=trace.connection_id,
        call_number=trace.call_number,
        sent_before=trace.sent_before,
        peer_id=trace.peer_id,
        answer_match=trace.answer_match,
    )
