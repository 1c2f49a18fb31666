"""Declines the grants of engines in evacuated failure domains."""

from ..chains import ChainSpec
from ..events import Event, log_event
from ..plans import ChainRefusal, Denial, Grant
from ..roster import EvacuatedTargets

# Time after which a caller may retry if all targets are evacuated. The end of
# an evacuation takes about a second to reach all entries.
EVACUATED_RETRY_AFTER_MS = 1000


def deny_evacuated(
    spec: ChainSpec, evacuated: EvacuatedTargets
) -> Denial | None:
    """Returns the denial of a request whose targets are all evacuated.

    Args:
        spec: What the request needs.
        evacuated: The evacuated targets.
    """
    needed = {spec.engine_service}
    if not spec.results:
        # The scheduler knows which pieces of a request that it continues are
        # missing; results at evacuated targets may still be read.
        needed.update(stage.service for stage in spec.stages if stage.pieces)
    if needed.isdisjoint(evacuated.services):
        return None
    return Denial(
        spec.chain_id, ChainRefusal.NO_TARGET, EVACUATED_RETRY_AFTER_MS
    )


class GrantReview:
    """Checks what schedulers decide about one request.

    A failure domain may be evacuated while a grant is on its way, and the
    scheduler may hear of it later than the entry that received the request.
    """

    def __init__(
        self, evacuated: EvacuatedTargets, excluded: frozenset[str]
    ) -> None:
        """Starts with the engines that are excluded in any case.

        Args:
            evacuated: The evacuated targets.
            excluded: Ids of the engines that must not be granted.
        """
        self.excluded = excluded
        self._evacuated = evacuated

    def check(self, outcome: Grant | Denial | None) -> Grant | Denial | None:
        """Returns an outcome, or a denial in place of a declined grant.

        Args:
            outcome: What the scheduler decided; None if there was none.
        """
        if not isinstance(outcome, Grant):
            return outcome
        engine_id = outcome.placement.engine.target_id
        if not self._evacuated.has(engine_id):
            return outcome
        log_event(
            Event.GRANT_DECLINED,
            request_id=outcome.chain_id,
            engine_id=engine_id,
        )
        self.excluded |= {engine_id}
        return Denial(outcome.chain_id, ChainRefusal.DECLINED, 0)
