"""Configuration folded from its stream of the log."""

import asyncio
from typing import Any

from .border import DocumentError
from .clock import MS_PER_S
from .configuration import Configuration, parse_configuration
from .events import Event, log_event
from .platform import LogPage, LogService, OffsetExpiredError, PlatformError

CONFIGURATION_STREAM = 'configuration'
READ_WAIT_MS = 500
RETRY_MS = 100


class ConfigurationFold:
    """The configuration that the records so far have put in force."""

    def __init__(self) -> None:
        """Starts before the first record."""
        self.next_offset = 0
        self.known = asyncio.Event()
        self._current: Configuration | None = None

    def current(self) -> Configuration | None:
        """Returns the configuration in force."""
        return self._current

    @property
    def version(self) -> int:
        """Returns the version in force; 0 before the first."""
        return self._current.version if self._current else 0

    def take(self, page: LogPage) -> None:
        """Folds records in.

        Args:
            page: Records that follow those taken so far.
        """
        for stored in page.records:
            self._take_record(dict(stored.body))
            self.next_offset = stored.offset + 1

    def _take_record(self, body: dict[str, Any]) -> None:
        if body.get('base_version') != self.version:
            return
        try:
            proposed = parse_configuration(
                body.get('document'),
                self.version + 1,
            )
        except DocumentError as error:
            log_event(Event.CONFIGURATION_REJECTED, reason=str(error))
            return
        self._current = proposed
        self.known.set()
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            version=proposed.version,
            digest=proposed.digest,
            author=body.get('author', ''),
        )


class ConfigurationReader:
    """Follows the configuration stream."""

    def __init__(self, fold: ConfigurationFold, log: LogService) -> None:
        """Wraps a fold.

        Args:
            fold: What records are folded into.
            log: Where they come from.
        """
        self._fold = fold
        self._log = log

    async def catch_up(self, wait_ms: float = 0) -> None:
        """Reads what there is.

        Args:
            wait_ms: How long to wait for a record when there is none.

        Raises:
            PlatformError: If the log does not answer.
        """
        try:
            page = await self._log.read(
                CONFIGURATION_STREAM,
                self._fold.next_offset,
                wait_ms,
            )
        except OffsetExpiredError as error:
            self._fold.next_offset = error.start
            return
        self._fold.take(page)

    async def follow(self) -> None:
        """Reads for ever."""
        while True:
            try:
                await self.catch_up(READ_WAIT_MS)
            except PlatformError as error:
                log_event(Event.PLATFORM_FAILED, reason=str(error))
                await asyncio.sleep(RETRY_MS / MS_PER_S)
