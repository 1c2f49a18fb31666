"""Runs of a stand-in target that are in progress."""

import contextlib
from collections.abc import AsyncIterator, Iterator


class OpenRuns:
    """Knows which requests a target has broken off."""

    def __init__(self) -> None:
        """Creates a record without runs."""
        # Ids of the requests of which a fault of the target broke off a run.
        self.broken_ids: set[str] = set()
        self._open_ids: set[str] = set()

    @contextlib.contextmanager
    def track(self, request_id: str) -> Iterator[None]:
        """Counts a request as running until the context exits."""
        self._open_ids.add(request_id)
        try:
            yield
        finally:
            self._open_ids.discard(request_id)

    async def track_chunks(
        self, request_id: str, chunks: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yields the chunks of a body, until whose end a request runs."""
        with self.track(request_id):
            async for chunk in chunks:
                yield chunk

    def break_off_all(self) -> None:
        """Records that a crash breaks all runs off."""
        self.broken_ids |= self._open_ids
