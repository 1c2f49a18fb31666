"""Takes targets that leave out of new work, here and at all peers."""

import itertools

from .fleet_state import FleetState
from .generated.peer_limits import DepartureBody, DeparturesBody
from .peers import GossipSection, PeerLink
from .shared_table import Table
from .target_departures import Departure, TargetDepartures


class DepartureService:
    """Applies departures to the roster and passes them on.

    A departure is part of each round of gossip until the record of its target
    states it or is gone. So an entry that was not there when the target
    announced it, as it started, was suspended or partitioned, learns of it with
    its first contact.
    """

    def __init__(
        self, departures: TargetDepartures, state: FleetState, link: PeerLink
    ) -> None:
        """Registers its messages on the link.

        Args:
            departures: Departures from answers.
            state: Holds the target roster.
            link: Link to the other entries.
        """
        self._departures = departures
        self._state = state
        self._link = link
        link.add_gossip_section(
            GossipSection(
                DeparturesBody,
                self._provide,
                self._consume,
                urgent=True,
            ),
        )
        departures.add_listener(self._on_news)
        state.add_listener(self._on_table_change)

    def _on_news(self, news: object) -> None:
        self._apply()
        self._link.send_section(DeparturesBody)

    def _on_table_change(self, table: Table) -> None:
        """Applies departures that were known before their records."""
        if table is Table.TARGETS:
            self._apply()

    def _apply(self) -> None:
        marked = [
            departure
            for departure in self._departures.known()
            if self._state.roster.mark_draining(
                departure.target_id, departure.incarnation
            )
        ]
        if marked:
            self._state.notify(Table.TARGETS)

    def _provide(self) -> DeparturesBody | None:
        unannounced = self._state.roster.unannounced_departures()
        departures = list(itertools.starmap(Departure, unannounced.items()))
        if not departures:
            return None
        self._departures.keep(departures)
        return DeparturesBody(
            departures=[
                DepartureBody(
                    target_id=departure.target_id,
                    incarnation=departure.incarnation,
                )
                for departure in departures
            ]
        )

    def _consume(self, peer_id: str, body: DeparturesBody) -> None:
        self._departures.merge(
            [
                Departure(one.target_id, one.incarnation)
                for one in body.departures
            ],
            peer_id,
        )
