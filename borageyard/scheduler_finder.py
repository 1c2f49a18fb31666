"""Selection of the entry that schedules a group of services."""

from collections.abc import Mapping

from .clock import Clock
from .events import Event, log_event
from .fleet_state import FleetState
from .membership import Member, Membership
from .scheduler_selection import choose_scheduler

# Time after startup in which gossip from all listed entries usually arrives.
# Waiting longer, for twice the silence after which an entry counts as gone,
# would only delay requests.
DISCOVERY_MS = 1000


class SchedulerFinder:
    """Selects schedulers among the entries that this entry has discovered."""

    def __init__(
        self,
        instance_id: str,
        state: FleetState,
        membership: Membership,
        clock: Clock,
    ) -> None:
        """Starts with no scheduler selected.

        Args:
            instance_id: Id of this entry.
            state: Targets and configuration.
            membership: The other entries.
            clock: Source of monotonic time.
        """
        self.leaving = False
        self._instance_id = instance_id
        self._state = state
        self._membership = membership
        self._clock = clock
        self._started_at_ms = clock.steady_ms()
        # Id of the selected entry by group.
        self.selected: dict[str, str] = {}

    def is_discovery_over(self) -> bool:
        """Returns whether the other entries had time to be discovered.

        Without this wait, an entry that starts would schedule a group in
        parallel with an entry that it has not discovered yet.
        """
        now_ms = self._clock.steady_ms()
        if now_ms - self._started_at_ms > DISCOVERY_MS:
            return True
        members = self._membership.members()
        return bool(members) and all(map(_may_schedule, members))

    def find(self, service: str, tried: frozenset[str]) -> str:
        """Returns the id of the entry that schedules an engine service.

        Args:
            service: Name of the engine service.
            tried: Ids of the entries that did not place the request.
        """
        group = self._state.groups.get(service, service)
        start_times_ms = self._start_times(tried)
        if tried:
            return choose_scheduler(group, start_times_ms) or self._instance_id
        return self._choose_and_log(group, start_times_ms)

    def foreign_services(self) -> frozenset[str]:
        """Returns the engine services that another entry schedules."""
        groups = self._state.groups
        start_times_ms = self._start_times(frozenset())
        foreign = {
            group
            for group in set(groups.values())
            if self._choose_and_log(group, start_times_ms) != self._instance_id
        }
        return frozenset(
            service for service, group in groups.items() if group in foreign
        )

    def _start_times(self, tried: frozenset[str]) -> Mapping[str, int]:
        now_ms = self._clock.steady_ms()
        start_times_ms = {
            member.instance_id: member.incarnation
            for member in self._membership.alive(now_ms)
            if _may_schedule(member) and member.instance_id not in tried
        }
        ready = bool(self._state.roster.services) and not self.leaving
        if ready or not start_times_ms:
            start_times_ms[self._instance_id] = self._membership.incarnation
        return start_times_ms

    def _choose_and_log(
        self,
        group: str,
        start_times_ms: Mapping[str, int],
    ) -> str:
        """Returns the scheduler of a group and logs when it changes."""
        chosen = choose_scheduler(group, start_times_ms) or self._instance_id
        if self.selected.get(group) != chosen:
            self.selected[group] = chosen
            self._log_selection(group, chosen, start_times_ms)
        return chosen

    def _log_selection(
        self,
        group: str,
        chosen: str,
        start_times_ms: Mapping[str, int],
    ) -> None:
        members = self._membership.members()
        contacts_ms = {
            member.instance_id: member.contact_at_ms for member in members
        }
        heard_at_ms = contacts_ms.get(chosen)
        age_ms = None
        if heard_at_ms is not None:
            age_ms = round(self._clock.steady_ms() - heard_at_ms)
        log_event(
            Event.SCHEDULER_CHOSEN,
            instance_id=self._instance_id,
            group=group,
            scheduler_id=chosen,
            started=dict(start_times_ms),
            unheard=len(contacts_ms.keys() - start_times_ms.keys()),
            # Liveness comes from direct contact only.
            source_id=chosen,
            age_ms=age_ms,
        )


def _may_schedule(member: Member) -> bool:
    """Returns whether an entry is ready; until then it has no targets."""
    return bool(member.address)
