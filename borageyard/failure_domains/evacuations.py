"""Failure domains that the operator has evacuated."""

import dataclasses
from collections.abc import Iterable

from ..clock import Clock
from ..events import Event, log_event
from ..shared_table import TablePage, TableRecord

# Keys of the records in the table of the configuration; the name of the
# failure domain follows.
EVACUATION_KEY_PREFIX = 'evacuate/'
# Content in place of the one that was written: only whether there is one
# counts, and peers pass records about evacuations on in one piece.
SHORT_CONTENT = b'{}'


def is_evacuation(key: str) -> bool:
    """Returns whether a record of the operator is about an evacuation.

    Args:
        key: Key of the record.
    """
    return key.startswith(EVACUATION_KEY_PREFIX)


def shorten_evacuations(page: TablePage) -> TablePage:
    """Returns a page whose records about evacuations have short contents.

    Args:
        page: Records of the operator.
    """
    records = [
        dataclasses.replace(record, content=SHORT_CONTENT)
        if record.content and is_evacuation(record.key)
        else record
        for record in page.records
    ]
    return dataclasses.replace(page, records=tuple(records))


class Evacuations:
    """The evacuated failure domains, as the newest known records state them.

    A record with any content evacuates the domain that its key names, whatever
    the name is: an operator who misspells the content still expects the domain
    to be left. One without content ends the evacuation.

    Load pattern: a domain is evacuated under full load while the store turns
    some of the entries away, so records arrive late, twice or from peers.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts without an evacuation.

        Args:
            clock: Source of monotonic time.
        """
        self._clock = clock
        # Monotonic time at which this entry heard of an evacuation in force;
        # None after its end.
        self._since_ms: dict[str, float | None] = {}

    @property
    def domains(self) -> frozenset[str]:
        """Returns the evacuated failure domains."""
        return frozenset(
            domain
            for domain, since_ms in self._since_ms.items()
            if since_ms is not None
        )

    def since_ms(self, domain: str) -> float | None:
        """Returns since when a failure domain is evacuated; None if it isn't.

        Args:
            domain: Name of the failure domain.
        """
        return self._since_ms.get(domain)

    def is_known(self, domain: str) -> bool:
        """Returns whether a record about a failure domain was seen.

        Args:
            domain: Name of the failure domain.
        """
        return domain in self._since_ms

    def apply(self, records: Iterable[TableRecord]) -> bool:
        """Folds records that are newer than those before.

        Args:
            records: Records about evacuations, in the order of their offsets.

        Returns:
            Whether an evacuation began or ended.
        """
        before = self.domains
        for record in records:
            self._apply(record)
        return self.domains != before

    def _apply(self, record: TableRecord) -> None:
        domain = record.key.removeprefix(EVACUATION_KEY_PREFIX)
        since_ms = self._since_ms.get(domain)
        now_ms = self._clock.steady_ms()
        if record.content is None:
            self._since_ms[domain] = None
            if since_ms is not None:
                log_event(
                    Event.EVACUATION_ENDED,
                    failure_domain=domain,
                    offset=record.offset,
                    lasted_ms=round(now_ms - since_ms),
                )
        elif since_ms is None:
            self._since_ms[domain] = now_ms
            log_event(
                Event.EVACUATION_BEGAN,
                failure_domain=domain,
                offset=record.offset,
            )
