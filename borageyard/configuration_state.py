"""State folded from the configuration stream, and its checkpoint form."""

import dataclasses
import itertools
from typing import Any, Final

from .configuration import Configuration, parse_configuration
from .document_validation import check_document
from .generated.log_configuration import (
    CheckpointRecord,
    DecisionRecord,
    MembershipRecord,
)

CHECKPOINT: Final = 'checkpoint'
MAX_DECISIONS = 128
MAX_VERSIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The entries that are members from a position on."""

    position: int
    members: frozenset[str]

    @property
    def majority_size(self) -> int:
        """Returns the number of members that form a majority."""
        return len(self.members) // 2 + 1

    @property
    def blocking_size(self) -> int:
        """Returns how many members are needed to meet every majority."""
        return len(self.members) - self.majority_size + 1


@dataclasses.dataclass(slots=True)
class FoldState:
    """State after the records folded so far.

    A position is the offset after the record that changed the configuration
    or the membership. The floor is the position below which no entry admits
    work.
    """

    next_offset: int = 0
    changed_at: int = 0
    floor: int = 0
    current: Configuration | None = None
    document: dict[str, Any] | None = None
    memberships: tuple[Membership, ...] = (Membership(0, frozenset()),)
    decisions: dict[str, DecisionRecord] = dataclasses.field(
        default_factory=dict,
    )
    history: tuple[DecisionRecord, ...] = ()

    @property
    def version(self) -> int:
        """Returns the version decided last; 0 before the first."""
        return self.current.version if self.current else 0

    @property
    def members(self) -> frozenset[str]:
        """Returns the current members."""
        return self.memberships[-1].members

    def memberships_until(self, position: int) -> tuple[Membership, ...]:
        """Returns the memberships in use from the floor up to a position."""
        return tuple(
            membership
            for membership in self.memberships
            if membership.position <= position
        )

    def note_decision(self, decision: DecisionRecord) -> None:
        """Records the decision on a proposal; drops the oldest decisions."""
        self.decisions[decision.change_id] = decision
        spare = max(len(self.decisions) - MAX_DECISIONS, 0)
        kept = itertools.islice(self.decisions.items(), spare, None)
        self.decisions = dict(kept)

    def put_in_force(
        self,
        current: Configuration,
        document: dict[str, Any],
        won: DecisionRecord,
    ) -> None:
        """Replaces the configuration.

        Args:
            current: The new configuration.
            document: The document from which it was built.
            won: The decision that made it current.
        """
        self.current = current
        self.document = document
        self.changed_at = won.position
        self.history = (*self.history, won)[-MAX_VERSIONS:]

    def change_members(self, members: frozenset[str], position: int) -> None:
        """Replaces the membership from a position on."""
        membership = Membership(position, members)
        self.memberships = (*self.memberships, membership)
        self.changed_at = position

    def drop_member(self, member: str) -> None:
        """Removes a member from all memberships that are still in use."""
        gone = frozenset((member,))
        self.memberships = tuple(
            Membership(known.position, known.members - gone)
            for known in self.memberships
        )

    def raise_floor(self, position: int) -> None:
        """Raises the floor and drops memberships that are no longer in use."""
        self.floor = position
        earlier = [
            known for known in self.memberships if known.position <= position
        ]
        later = self.memberships[len(earlier) :]
        self.memberships = (*earlier[-1:], *later)


def instance_id_of(member: str) -> str:
    """Returns the instance id of a member, named ``instance#incarnation``."""
    return member.rpartition('#')[0]


def encode_state(state: FoldState) -> dict[str, Any]:
    """Encodes a state as the body of a checkpoint record."""
    record = CheckpointRecord(
        type=CHECKPOINT,
        next_offset=state.next_offset,
        changed_at=state.changed_at,
        floor=state.floor,
        version=state.version,
        document=state.document,
        memberships=[
            MembershipRecord(
                position=known.position,
                members=sorted(known.members),
            )
            for known in state.memberships
        ],
        decisions=list(state.decisions.values()),
        history=list(state.history),
    )
    return record.model_dump(mode='json')


def decode_state(checkpoint: object) -> FoldState:
    """Decodes a state from the body of a checkpoint record.

    Args:
        checkpoint: Body of the record.

    Returns:
        The state.

    Raises:
        DocumentError: If the body or its configuration document is invalid.
    """
    record = check_document(CheckpointRecord, checkpoint, CHECKPOINT)
    current = None
    if record.document is not None:
        current = parse_configuration(record.document, record.version)
    return FoldState(
        next_offset=record.next_offset,
        changed_at=record.changed_at,
        floor=record.floor,
        current=current,
        document=record.document,
        memberships=tuple(
            Membership(known.position, frozenset(known.members))
            for known in record.memberships
        ),
        decisions={row.change_id: row for row in record.decisions},
        history=tuple(record.history),
    )
