"""Finds the entry that schedules a group of services."""

from collections.abc import Mapping

from .clock import Clock
from .events import Event, log_event
from .fleet_state import FleetState
from .membership import Member, Membership
from .succession import choose_scheduler

# Time after the start in which all listed entries are usually heard; twice
# the silence after which an entry counts as gone would only delay requests.
SETTLE_MS = 1000


class SchedulerFinder:
    """Knows which entries may schedule, as one entry sees them."""

    def __init__(
        self,
        instance_id: str,
        state: FleetState,
        membership: Membership,
        clock: Clock,
    ) -> None:
        """Starts with no scheduler chosen.

        Args:
            instance_id: Id of this entry.
            state: Targets and configuration.
            membership: The other entries.
            clock: Source of steady time.
        """
        self.leaving = False
        self._instance_id = instance_id
        self._state = state
        self._membership = membership
        self._clock = clock
        self._began_ms = clock.steady_ms()
        self._chosen: dict[str, str] = {}

    def is_settled(self) -> bool:
        """Tells whether the other entries had the time to be heard.

        An entry that starts would else schedule beside one that it has not
        heard yet.
        """
        now_ms = self._clock.steady_ms()
        if now_ms - self._began_ms > SETTLE_MS:
            return True
        members = self._membership.members()
        return bool(members) and all(map(_may_schedule, members))

    def find(self, service: str, passed: frozenset[str]) -> str:
        """Returns the entry that schedules a service of engines.

        Args:
            service: The service.
            passed: Entries that did not answer.
        """
        group = self._state.groups.get(service, service)
        started = self._started(passed)
        if passed:
            return choose_scheduler(group, started) or self._instance_id
        return self._choose(group, started)

    def foreign_services(self) -> frozenset[str]:
        """Returns the services of engines that another entry schedules."""
        groups = self._state.groups
        started = self._started(frozenset())
        foreign = {
            group
            for group in set(groups.values())
            if self._choose(group, started) != self._instance_id
        }
        return frozenset(
            service for service, group in groups.items() if group in foreign
        )

    def _started(self, passed: frozenset[str]) -> Mapping[str, int]:
        now_ms = self._clock.steady_ms()
        started = {
            member.instance_id: member.incarnation
            for member in self._membership.alive(now_ms)
            if _may_schedule(member) and member.instance_id not in passed
        }
        ready = bool(self._state.roster.services) and not self.leaving
        if ready or not started:
            started[self._instance_id] = self._membership.incarnation
        return started

    def _choose(self, group: str, started: Mapping[str, int]) -> str:
        """Returns who schedules a group; logs when it is another entry."""
        chosen = choose_scheduler(group, started) or self._instance_id
        if self._chosen.get(group) != chosen:
            self._chosen[group] = chosen
            log_event(
                Event.SCHEDULER_CHOSEN,
                group=group,
                scheduler_id=chosen,
                started=dict(started),
            )
        return chosen


def _may_schedule(member: Member) -> bool:
    """Tells whether an entry is ready: else it knows no targets."""
    return bool(member.address)
