"""Decodes what targets say of themselves in the headers of their answers."""

from collections.abc import Mapping
from http import HTTPStatus

from ..failure_domains.cold_targets import ColdTargets
from ..roster import RosterRow
from ..target_backoffs import read_pause_ms
from ..target_departures import TargetDepartures
from ..target_limits import TargetLimits

# Requests a second that a target takes from all callers together.
LIMIT_HEADER = 'server-limit'
# Time in ms for which a target is cold.
COLD_HEADER = 'x-cold-ms'
LEAVING_HEADER = 'server-leaving'
LEAVING = '1'
RETRY_AFTER_HEADER = 'retry-after'


class AnswerNotices:
    """Passes on what the answers of targets say of them."""

    def __init__(
        self,
        limits: TargetLimits,
        departures: TargetDepartures,
        cold: ColdTargets | None = None,
    ) -> None:
        """Stores the receivers.

        Args:
            limits: Receives limits, and the pauses that targets ask for.
            departures: Receives the targets that leave.
            cold: Receives the targets that are cold.
        """
        self.limits = limits
        self._departures = departures
        self._cold = cold

    def note(
        self, target: RosterRow, status: int, headers: Mapping[str, str]
    ) -> None:
        """Records what an answer says.

        Args:
            target: The target that answered.
            status: Status of its answer.
            headers: Headers of its answer by lower-case name.
        """
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            pause_ms = read_pause_ms(
                target.target_id, headers.get(RETRY_AFTER_HEADER)
            )
            if pause_ms:
                self.limits.backoffs.note_rejection(target, pause_ms)
        self.limits.note_header(target, headers.get(LIMIT_HEADER))
        self.note_cold(target.target_id, headers)
        if headers.get(LEAVING_HEADER) == LEAVING:
            self._departures.note_leaving(target)

    def note_cold(self, target_id: str, headers: Mapping[str, str]) -> None:
        """Records whether an answer says that its target is cold.

        Args:
            target_id: Target that answered.
            headers: Headers of its answer by lower-case name.
        """
        if self._cold is not None:
            self._cold.note_answer(target_id, headers.get(COLD_HEADER))

    def is_limited(self, target_id: str) -> bool:
        """Returns whether each send to a target takes a permit."""
        is_cold = self._cold is not None and self._cold.is_cold(target_id)
        return is_cold or self.limits.is_limited(target_id)
