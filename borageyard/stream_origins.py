"""Which software version began each stream that may be taken up."""

import collections
import dataclasses
from collections.abc import Collection, Sequence

# Streams that are remembered at most; the ones that expire first are dropped.
MAX_STREAMS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Version that began a stream.

    ``request_id`` is the id of the request that brought the first event.
    """

    request_id: str
    service: str
    software_version: str
    # Monotonic time until which its caller may take it up.
    expires_at_ms: float


class StreamOrigins:
    """Origins of streams that this entry or its peers relayed."""

    def __init__(self) -> None:
        """Starts without streams."""
        self._origins: collections.OrderedDict[str, StreamOrigin] = (
            collections.OrderedDict()
        )
        # Ids of the streams whose origin no other entry knows yet.
        self._unshared: set[str] = set()

    def add(self, origin: StreamOrigin, *, shared: bool) -> None:
        """Adds the origin of a stream, unless it is known.

        Args:
            origin: The origin.
            shared: Whether other entries know it.
        """
        if origin.request_id in self._origins:
            return
        self._origins[origin.request_id] = origin
        if not shared:
            self._unshared.add(origin.request_id)
        if len(self._origins) > MAX_STREAMS:
            self._remove(next(iter(self._origins)))

    def find(self, request_id: str, now_ms: float) -> StreamOrigin | None:
        """Returns the origin of a stream, or None if it is unknown.

        Args:
            request_id: Id of the request that brought its first event.
            now_ms: Monotonic time.
        """
        self._expire(now_ms)
        origin = self._origins.get(request_id)
        if origin is None or origin.expires_at_ms <= now_ms:
            return None
        return origin

    def take_unshared(
        self, service: str, now_ms: float
    ) -> Sequence[StreamOrigin]:
        """Returns the origins that no other entry knows; they count as shared.

        Args:
            service: Name of the service of the streams.
            now_ms: Monotonic time.
        """
        self._expire(now_ms)
        taken = [
            self._origins[request_id]
            for request_id in self._unshared
            if self._origins[request_id].service == service
        ]
        self._unshared.difference_update(origin.request_id for origin in taken)
        return taken

    def services(self) -> Collection[str]:
        """Returns the services of the streams whose origin none other knows."""
        return {
            self._origins[request_id].service for request_id in self._unshared
        }

    def _expire(self, now_ms: float) -> None:
        """Removes streams from the oldest on until one has not expired."""
        while self._origins:
            oldest = next(iter(self._origins.values()))
            if oldest.expires_at_ms > now_ms:
                return
            self._remove(oldest.request_id)

    def _remove(self, request_id: str) -> None:
        self._origins.pop(request_id)
        self._unshared.discard(request_id)
