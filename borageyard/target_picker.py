"""Load balancing among the targets of a service that is not streamed."""

import collections
import contextlib
import dataclasses
import random
from collections.abc import Collection, Iterator, Mapping, Sequence

from .failure_domains.domain_spill import (
    DomainLoad,
    DomainSpill,
    LeavingCost,
    are_even,
    destinations,
)
from .inbound import TargetLoad
from .roster import RosterRow
from .target_speed.target_speeds import FleetSpeeds, is_usual

# Time over which the weight of a load report falls linearly to zero.
LOAD_REPORT_TTL_MS = 1000
# Time for which a failed target is used only as a last resort; doubled at each
# failure in succession.
FAILURE_BACKOFF_MS = 300
MAX_FAILURE_BACKOFF_MS = 5000
# A target in another failure domain is chosen only if it has this many fewer
# requests; used where targets are alike and spread evenly.
REMOTE_DOMAIN_PENALTY_REQUESTS = 0.5
# Interval in which the share that leaves the failure domain is computed.
SPILL_INTERVAL_MS = 50
# Share of the difference between the usual and an observed figure that is
# learned.
LEARNING_RATE = 0.1
# Time of a request before any has been answered, and the shortest one.
INITIAL_RUN_MS = 100
MIN_RUN_MS = 1


@dataclasses.dataclass(slots=True)
class _TargetStats:
    in_flight: int = 0
    reported_requests: float = 0
    reported_at_ms: float = 0
    backoff_until_ms: float = 0
    failures: int = 0
    slots: int = 0
    # Whether requests waited there or its machine was slowed when it last
    # reported its load.
    is_disturbed: bool = False

    def calls(self, now_ms: float) -> float:
        """Returns the requests sent from here and those of others."""
        freshness = max(
            1 - (now_ms - self.reported_at_ms) / LOAD_REPORT_TTL_MS,
            0,
        )
        return self.in_flight + self.reported_requests * freshness


@dataclasses.dataclass(slots=True)
class _UsualRequest:
    """Time and size of the requests of a route, as moving averages."""

    run_ms: float
    size_bytes: float

    def learn(self, run_ms: float, size_bytes: int) -> None:
        """Learns from a request."""
        self.run_ms += LEARNING_RATE * (run_ms - self.run_ms)
        self.size_bytes += LEARNING_RATE * (size_bytes - self.size_bytes)


@dataclasses.dataclass(slots=True)
class _ServiceView:
    """The targets of a service, and what leaves the domain of this entry."""

    rows: Sequence[RosterRow]
    # Most requests that one of them runs at once.
    slots: int
    # Whether the targets are spread evenly over failure domains.
    is_even: bool
    # Whether there are targets both in this domain and in others.
    may_leave: bool
    spill: DomainSpill
    # Domains that requests which leave may go to.
    destinations: frozenset[str] = frozenset()
    next_update_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Preferences:
    """What a choice goes by besides the requests at the targets."""

    # Failure domains that the request should go to; others have a penalty.
    domains: Collection[str]
    penalty_requests: float = REMOTE_DOMAIN_PENALTY_REQUESTS


class TargetPicker:
    """Picks the target with the fewest requests, sent from here or reported.

    Some targets are slow or fail while their health check passes, so a target
    is rated only by its answers to callers' requests. Where targets differ in
    speed, requests at a slow one count for more. Where the failure domain of
    this entry has too few targets, a part of the requests leaves it.
    """

    def __init__(self, seed: str, speeds: FleetSpeeds | None = None) -> None:
        """Creates a picker without statistics.

        Args:
            seed: Seed of the random choice among equally loaded targets.
            speeds: Learns and knows the speeds of the targets.
        """
        self.speeds = speeds or FleetSpeeds()
        # Requests sent to other failure domains, by service.
        self.remote_sends: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._stats: dict[str, _TargetStats] = {}
        self._views: dict[str, _ServiceView] = {}
        # Services of which a target reported another number of slots.
        self._outdated: set[str] = set()
        self._usual: dict[tuple[str, str], _UsualRequest] = {}

    def pick(
        self,
        rows: Sequence[RosterRow],
        excluded: Collection[str],
        failure_domain: str,
        now_ms: float,
    ) -> RosterRow | None:
        """Returns a target, or None if all are excluded.

        Args:
            rows: Targets that take new work.
            excluded: Ids of the targets that were tried.
            failure_domain: Failure domain of this entry.
            now_ms: Monotonic time.
        """
        candidates = [row for row in rows if row.target_id not in excluded]
        healthy = [
            row
            for row in candidates
            if self._stats_of(row).backoff_until_ms <= now_ms
        ]
        if not candidates:
            return None
        view = self._view_of(rows, failure_domain)
        slowdowns = self._slowdowns(rows, now_ms)
        preferences = self._prefer(view, failure_domain, slowdowns, now_ms)
        return min(
            healthy or candidates,
            key=lambda row: self._score(
                row, preferences, slowdowns.get(row.target_id), now_ms
            ),
        )

    @contextlib.contextmanager
    def count_in_flight(self, row: RosterRow) -> Iterator[None]:
        """Context manager that counts a request to a target as in flight."""
        stats = self._stats_of(row)
        stats.in_flight += 1
        try:
            yield
        finally:
            stats.in_flight -= 1

    def note_load(
        self,
        row: RosterRow,
        load: TargetLoad,
        now_ms: float,
    ) -> None:
        """Records the load that a target reported.

        Args:
            row: The target.
            load: Reported load, including the requests of this entry.
            now_ms: Monotonic time.
        """
        stats = self._stats_of(row)
        others = load.running + load.waiting - stats.in_flight
        stats.reported_requests = max(others, 0)
        stats.reported_at_ms = now_ms
        if stats.slots != load.slots:
            stats.slots = load.slots
            self._outdated.add(row.service)
        stats.is_disturbed = bool(load.waiting) or not is_usual(
            load.slowdown_ratio
        )
        self.speeds.note_stated(row, load.slowdown_ratio, now_ms)

    def note_run(
        self, row: RosterRow, kind: str, took_ms: float, size_bytes: int
    ) -> None:
        """Learns from a request that was answered.

        Args:
            row: The target.
            kind: Name of the route: its requests take similar times.
            took_ms: Time from the send to the whole answer.
            size_bytes: Bytes of the request and its answer.
        """
        if self._stats_of(row).is_disturbed:
            return
        key = row.service, kind
        usual = self._usual.setdefault(key, _UsualRequest(took_ms, size_bytes))
        speeds = self.speeds.of_service(row.service)
        speeds.note_run(row.target_id, row.incarnation, usual.run_ms, took_ms)
        usual.learn(took_ms, size_bytes)

    def note_success(self, row: RosterRow) -> None:
        """Records a successful answer."""
        self._stats_of(row).failures = 0

    def note_failure(self, row: RosterRow, now_ms: float) -> None:
        """Records that a target failed a request.

        Args:
            row: The target.
            now_ms: Monotonic time.
        """
        stats = self._stats_of(row)
        backoff_ms = FAILURE_BACKOFF_MS * 2**stats.failures
        stats.backoff_until_ms = now_ms + min(
            backoff_ms,
            MAX_FAILURE_BACKOFF_MS,
        )
        stats.failures += 1

    def _stats_of(self, row: RosterRow) -> _TargetStats:
        stats = self._stats.get(row.target_id)
        if stats is None:
            stats = _TargetStats()
            self._stats[row.target_id] = stats
        return stats

    def _slots_of(self, row: RosterRow) -> int:
        return max(self._stats_of(row).slots or row.slots, 1)

    def _slowdowns(
        self, rows: Sequence[RosterRow], now_ms: float
    ) -> Mapping[str, float]:
        """Returns times relative to a typical target; empty if all are alike.

        Args:
            rows: Targets of a service.
            now_ms: Monotonic time.
        """
        speeds = self.speeds.of_service(rows[0].service)
        if not speeds.active:
            return {}
        return {
            row.target_id: speeds.relative_slowdown(row.target_id, now_ms)
            for row in rows
        }

    def _view_of(self, rows: Sequence[RosterRow], home: str) -> _ServiceView:
        """Returns what is known of a service; starts anew with its targets."""
        service = rows[0].service
        view = self._views.get(service)
        if view is None or view.rows is not rows or service in self._outdated:
            self._outdated.discard(service)
            slots = max(map(self._slots_of, rows))
            loads = self._domain_loads(rows, {}, 0)
            capacities = {name: load.capacity for name, load in loads.items()}
            view = _ServiceView(
                rows,
                slots,
                is_even=are_even(capacities, slots),
                may_leave=home in loads and len(loads) > 1,
                spill=view.spill if view else DomainSpill(),
            )
            self._views[service] = view
            self.speeds.of_service(service).keep(rows)
        return view

    def _prefer(
        self,
        view: _ServiceView,
        home: str,
        slowdowns: Mapping[str, float],
        now_ms: float,
    ) -> Preferences:
        """Returns what a choice goes by besides the requests at the targets.

        Where the domain of this entry may have too few targets, a share of its
        requests leaves it. The others stay as long as a target there does not
        have so many more requests as it runs at once: if each choice went by
        the last reports alone, most requests would leave, and many entries
        would send to the same target.
        """
        if not view.may_leave or (view.is_even and not slowdowns):
            return Preferences((home,))
        if now_ms >= view.next_update_ms:
            view.next_update_ms = now_ms + SPILL_INTERVAL_MS
            loads = self._domain_loads(view.rows, slowdowns, now_ms)
            cost = self._cost(view.rows[0].service)
            view.spill.update(home, loads, cost, now_ms)
            view.destinations = destinations(home, loads)
        share = view.spill.share(home)
        if share and self._random.random() < share:
            return Preferences(view.destinations, view.slots)
        return Preferences((home,), view.slots)

    def _domain_loads(
        self,
        rows: Sequence[RosterRow],
        slowdowns: Mapping[str, float],
        now_ms: float,
    ) -> Mapping[str, DomainLoad]:
        capacities: dict[str, float] = {}
        work: dict[str, float] = {}
        for row in rows:
            domain = row.failure_domain
            stats = self._stats_of(row)
            capacity = self._slots_of(row) / slowdowns.get(row.target_id, 1)
            capacities[domain] = capacities.get(domain, 0) + capacity
            work[domain] = work.get(domain, 0) + stats.calls(now_ms)
        return {
            domain: DomainLoad(capacity, work[domain])
            for domain, capacity in capacities.items()
        }

    def _cost(self, service: str) -> LeavingCost:
        """Returns what leaving its domain costs a request of a service."""
        known = [
            usual
            for (used_service, _), usual in self._usual.items()
            if used_service == service
        ]
        if not known:
            return LeavingCost(INITIAL_RUN_MS)
        run_ms = sum(usual.run_ms for usual in known) / len(known)
        size_bytes = sum(usual.size_bytes for usual in known) / len(known)
        return LeavingCost(max(run_ms, MIN_RUN_MS), size_bytes)

    def _score(
        self,
        row: RosterRow,
        preferences: Preferences,
        slowdown: float | None,
        now_ms: float,
    ) -> float:
        calls = self._stats_of(row).calls(now_ms)
        calls += self._random.random() / 2
        if slowdown is not None:
            # The request itself takes longer there, too.
            calls = (calls + 1) * slowdown
        if row.failure_domain in preferences.domains:
            return calls
        return calls + preferences.penalty_requests
