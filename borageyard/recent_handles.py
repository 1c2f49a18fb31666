"""Handles of the results that targets gave out lately."""

import collections
from collections.abc import Collection

from .http_client import AnswerMismatchError

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

    def add(self, handles: Collection[str]) -> None:
        """Adds the handles of an answer.

        Args:
            handles: The handles.

        Raises:
            AnswerMismatchError: If one of them was given out before.
        """
        if not self._handles.keys().isdisjoint(handles):
            raise AnswerMismatchError('results of an earlier call')
        self._handles.update(dict.fromkeys(handles))
        while len(self._handles) > MAX_HANDLES:
            self._handles.popitem(last=False)
