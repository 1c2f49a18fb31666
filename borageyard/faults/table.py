"""The fault matrix as a table of steps, faults and allowed outcomes."""

import dataclasses
import enum
import types
from collections.abc import Iterator, Mapping


class Step(enum.StrEnum):
    """Steps of a request, a configuration change and a drain."""

    ADDRESSES = 'ask for addresses'
    CONNECT = 'connect to the entry'
    SEND_BODY = 'send the body'
    ADMIT = 'admit'
    CLAIM_APPEND = 'append the claim'
    CLAIM_READ = 'read the claim back'
    GENERATE_CONNECT = 'generate: connect'
    GENERATE_SEND = 'generate: send'
    GENERATE_WAIT = 'generate: wait'
    GENERATE_FIRST = 'generate: first bytes'
    GENERATE_MIDDLE = 'generate: mid-stream'
    GENERATE_END = 'generate: end'
    BOOK_CONNECT = 'book: connect'
    BOOK_SEND = 'book: send'
    BOOK_WAIT = 'book: wait'
    BOOK_FIRST = 'book: first bytes'
    BOOK_END = 'book: end'
    OUTCOME_APPEND = 'append the outcome'
    REPLY = 'reply'
    RETRY_SAME = 'retry at the same entry'
    RETRY_OTHER = 'retry at another entry'
    PROPOSE = 'configuration: propose'
    DECIDE = 'configuration: decide'
    IN_FORCE = 'configuration: in force'
    DRAIN_BEGIN = 'drain: begin'
    DRAIN_END = 'drain: end'


class Fault(enum.StrEnum):
    """Faults that are injected at a step."""

    REFUSED = 'refused'
    SLOW = 'slow'
    RESET = 'reset'
    HALF_OPEN = 'half-open'
    TARGET_CRASH = 'target crash'
    ENTRY_CRASH = 'entry crash'
    ENTRY_PAUSE = 'entry pause'
    CROSSED = 'crossed answer'
    DOUBLED = 'doubled answer'
    LATE = 'late answer'
    TRUNCATED = 'truncated answer'
    LOG_DOWN = 'log down'
    LOG_SLOW = 'log slow'
    APPEND_LOST = 'append answer lost'
    LIST_STALE = 'list stale'
    LINK_ONE_WAY = 'peer link cut one way'
    LINK_CUT = 'peer link cut both ways'


class Ending(enum.StrEnum):
    """What a caller knows about its request after an attempt."""

    ANSWER = 'whole answer'
    NOT_RUN = 'refused, not run'
    RAN = 'refused, ran'
    UNKNOWN = 'unknown'
    SILENT = 'no response'


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step, with its allowed endings.

    A cell that cannot occur states the reason in ``cannot_occur`` and has no
    endings. ``second_fault`` is injected together with ``fault``.
    """

    step: Step
    fault: Fault
    endings: frozenset[Ending] = frozenset()
    cannot_occur: str = ''
    second_fault: Fault | None = None

    @property
    def name(self) -> str:
        """Returns the name of the cell in reports."""
        faults = [self.fault.value]
        if self.second_fault is not None:
            faults.append(self.second_fault.value)
        return ' / '.join((self.step.value, *faults))


CALLER_STEPS = frozenset((Step.ADDRESSES, Step.CONNECT, Step.SEND_BODY))
RETRY_STEPS = frozenset((Step.RETRY_SAME, Step.RETRY_OTHER))
CHANGE_STEPS = frozenset((Step.PROPOSE, Step.DECIDE, Step.IN_FORCE))
DRAIN_STEPS = frozenset((Step.DRAIN_BEGIN, Step.DRAIN_END))
GENERATE_STEPS = frozenset(
    (
        Step.GENERATE_CONNECT,
        Step.GENERATE_SEND,
        Step.GENERATE_WAIT,
        Step.GENERATE_FIRST,
        Step.GENERATE_MIDDLE,
        Step.GENERATE_END,
    )
)
BOOK_STEPS = frozenset(
    (
        Step.BOOK_CONNECT,
        Step.BOOK_SEND,
        Step.BOOK_WAIT,
        Step.BOOK_FIRST,
        Step.BOOK_END,
    )
)
# Steps from which on the call to the booking service may have run.
AFTER_SEND_STEPS = frozenset(
    (
        Step.BOOK_SEND,
        Step.BOOK_WAIT,
        Step.BOOK_FIRST,
        Step.BOOK_END,
    )
)
# Steps at which the log holds the claim or may hold it.
CLAIMED_STEPS = AFTER_SEND_STEPS | {
    Step.CLAIM_APPEND,
    Step.CLAIM_READ,
    Step.BOOK_CONNECT,
    Step.OUTCOME_APPEND,
    Step.REPLY,
    Step.RETRY_SAME,
    Step.RETRY_OTHER,
    Step.PROPOSE,
    Step.DECIDE,
    Step.IN_FORCE,
    Step.DRAIN_BEGIN,
}

TARGET_STEPS = GENERATE_STEPS | BOOK_STEPS
APPEND_STEPS = frozenset(
    (Step.CLAIM_APPEND, Step.OUTCOME_APPEND, Step.PROPOSE),
)
ANSWER_FAULTS = frozenset(
    (
        Fault.CROSSED,
        Fault.DOUBLED,
        Fault.LATE,
        Fault.TRUNCATED,
    )
)
# Steps at which bytes of a target's answer are transferred.
ANSWER_STEPS = frozenset(
    (
        Step.GENERATE_FIRST,
        Step.GENERATE_MIDDLE,
        Step.GENERATE_END,
        Step.BOOK_FIRST,
        Step.BOOK_END,
    )
)
CONNECT_STEPS = frozenset(
    (
        Step.CONNECT,
        Step.ADDRESSES,
        Step.GENERATE_CONNECT,
        Step.BOOK_CONNECT,
    )
)
# Steps that are reached while a booking runs concurrently.
CONCURRENT_STEPS = CHANGE_STEPS | {Step.DRAIN_BEGIN}
# Faults that lose the answer of a target after the call was sent.
ANSWER_LOSING_FAULTS = frozenset(
    (
        Fault.RESET,
        Fault.HALF_OPEN,
        Fault.TARGET_CRASH,
        Fault.CROSSED,
        Fault.LATE,
        Fault.TRUNCATED,
    )
)

# Pairs of faults that are injected together. The second one affects the
# environment of the request: platform, peer links or entry.
FAULT_PAIRS = (
    (Fault.ENTRY_CRASH, Fault.LOG_DOWN),
    (Fault.ENTRY_CRASH, Fault.LIST_STALE),
    (Fault.ENTRY_PAUSE, Fault.LINK_CUT),
    (Fault.APPEND_LOST, Fault.ENTRY_CRASH),
    (Fault.APPEND_LOST, Fault.LOG_DOWN),
    (Fault.TARGET_CRASH, Fault.ENTRY_PAUSE),
    (Fault.RESET, Fault.LOG_DOWN),
    (Fault.HALF_OPEN, Fault.LINK_CUT),
)
# Endings that a pair of faults may cause in addition: it may lose the answer,
# but must not lead to a false statement about the run.
PAIR_ENDINGS = frozenset((Ending.NOT_RUN, Ending.UNKNOWN))

IMPOSSIBLE_REASONS: Mapping[str, str] = types.MappingProxyType(
    {
        'answer': 'no answer of a target travels at this step',
        'refused': 'only opening a connection or an append can be refused',
        'link': 'the step exchanges nothing over a connection of its own',
        'append': 'nothing is appended at this step',
        'reset': 'a connection that is not open yet cannot be reset',
    }
)


def fault_table() -> Iterator[Cell]:
    """Yields all cells of the matrix, row by row."""
    for step in Step:
        for fault in Fault:
            reason = _impossible_reason(step, fault)
            if reason:
                yield Cell(step, fault, cannot_occur=IMPOSSIBLE_REASONS[reason])
            else:
                yield Cell(step, fault, _allowed_endings(step, fault))


def fault_pairs() -> Iterator[Cell]:
    """Yields the cells in which a second fault accompanies the first."""
    for cell in fault_table():
        for first, second in FAULT_PAIRS:
            if cell.fault is first and not cell.cannot_occur:
                yield dataclasses.replace(
                    cell,
                    second_fault=second,
                    endings=cell.endings
                    | _allowed_endings(cell.step, second)
                    | PAIR_ENDINGS,
                )


def _impossible_reason(step: Step, fault: Fault) -> str:
    if fault in ANSWER_FAULTS:
        return '' if step in ANSWER_STEPS else 'answer'
    if fault is Fault.REFUSED:
        return '' if step in CONNECT_STEPS | APPEND_STEPS else 'refused'
    if fault is Fault.APPEND_LOST:
        return '' if step in APPEND_STEPS else 'append'
    if fault is Fault.RESET and step in CONNECT_STEPS:
        return 'reset'
    if fault in {Fault.RESET, Fault.HALF_OPEN, Fault.SLOW}:
        exchanging = CALLER_STEPS | TARGET_STEPS | {Step.REPLY}
        return '' if step in exchanging else 'link'
    return ''


def _allowed_endings(step: Step, fault: Fault) -> frozenset[Ending]:
    arrived = step is Step.BOOK_END and fault is Fault.TARGET_CRASH
    if (
        step in AFTER_SEND_STEPS
        and fault in ANSWER_LOSING_FAULTS
        and not arrived
    ):
        return frozenset((Ending.UNKNOWN,))
    operation = fault is Fault.TARGET_CRASH and step in CONCURRENT_STEPS
    if operation or (fault is Fault.ENTRY_CRASH and step in CLAIMED_STEPS):
        return frozenset((Ending.UNKNOWN, Ending.ANSWER))
    if fault is Fault.ENTRY_PAUSE and step in CLAIMED_STEPS:
        return frozenset((Ending.UNKNOWN, Ending.ANSWER, Ending.NOT_RUN))
    if fault in {Fault.LOG_DOWN, Fault.LOG_SLOW} and step not in GENERATE_STEPS:
        return frozenset((Ending.ANSWER, Ending.NOT_RUN))
    if fault in {Fault.LINK_ONE_WAY, Fault.LINK_CUT} and step in RETRY_STEPS:
        return frozenset((Ending.UNKNOWN, Ending.ANSWER))
    return frozenset((Ending.ANSWER,))
