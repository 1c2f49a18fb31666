"""Faults that operators of similar systems reported, and their tests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorReport:
    """A report, whether it can happen here, and what shows it."""

    fault: str
    here: str
    shown_by: tuple[str, ...]


OPERATOR_REPORTS = (
    OperatorReport(
        'another writer leaves an odd record among those of the targets, and '
        'entries end or stop following it',
        'it could (readers ended, 0 of 12 prompts served); such a record is '
        'refused and counted, and a reader that fails is started again',
        (
            'test_odd_records.py',
            'test_platform_documents.py TestTarget',
            'test_tasks.py TestFleetSync',
        ),
    ),
    OperatorReport(
        'a stream broke off and the next target answered with an error, or '
        'wrote one into its stream: the caller got its text, or a stream that '
        'ended as complete',
        'it could, where an answer has no length or the next one was a 200 '
        'without events; each event must follow the one before, and an answer '
        'that goes on with a stream has its content type',
        (
            'test_broken_streams.py TestStrayBytes, TestAnswerToTheResume',
            'test_event_framer.py TestOrder',
            'test_streaming_relay.py TestLongSilence',
        ),
    ),
    OperatorReport(
        'a target stopped in the head of its answer and closed: the caller got '
        'a 200 with a short body, framed as whole',
        'no: a head counts when it is whole (`ClientConnection.receive_head`); '
        'plain, streamed, and by way of a peer',
        ('test_broken_streams.py TestHeadThatBreaksOff',),
    ),
)
