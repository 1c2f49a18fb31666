"""Handles of the results that targets gave out lately."""

import collections
from collections.abc import Sequence

from .http_client import AmbiguousAnswerError, AnswerMismatchError

# Several calls to each target of a service.
MAX_HANDLES = 10_000


class RecentHandles:
    """Tells the results of a call from a copy of those of an earlier one.

    A handle is given out once.
    """

    def __init__(self) -> None:
        """Starts without handles."""
        # The latest ones last.
        self._handles: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def require_own(self, handles: Sequence[str], piece_count: int) -> None:
        """Checks and adds the handles of an answer.

        Args:
            handles: The handles, empty for pieces without a result.
            piece_count: Number of pieces in the call.

        Raises:
            AnswerMismatchError: If one of them was given out before, or the
                answer is to another number of pieces.
            AmbiguousAnswerError: If there are none, so that nothing tells the
                answer from a copy, which may follow on the connection.
        """
        if len(handles) != piece_count:
            raise AnswerMismatchError(f'{len(handles)} results')
        made = [handle for handle in handles if handle]
        if not made:
            raise AmbiguousAnswerError
        if not self._handles.keys().isdisjoint(made):
            raise AnswerMismatchError('results of an earlier call')
        self._handles.update(dict.fromkeys(made))
        while len(self._handles) > MAX_HANDLES:
            self._handles.popitem(last=False)
