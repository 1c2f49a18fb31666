"""Stateful property test of claims under random faults."""

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from .claim_model import ClaimModel, Submission
from .test_claims import key_made_at

ENTRIES = st.integers(0, 2)
APPEND_FAULTS = st.sampled_from(
    ('drop', 'lose', 'duplicate', 'late0.1', 'late0.6', 'late5'),
)
STEPS_MS = st.sampled_from((1, 3, 10, 50, 300, 2000, 9000))
DEADLINES_MS = st.sampled_from((20, 200, 3000))
RUNS_MS = st.sampled_from((0, 40, 1000))
ENDINGS = st.sampled_from(('answer', 'answer', 'large', 'not_run', 'unknown'))
HEAL_MS = 20_000


class ClaimMachine(RuleBasedStateMachine):
    """State machine of entries, callers, a log and links with faults."""

    def __init__(self):
        """Starts with three entries and no faults."""
        super().__init__()
        self.model = ClaimModel()
        self.keys = []

    @rule(
        entry=ENTRIES,
        deadline_ms=DEADLINES_MS,
        run_ms=RUNS_MS,
        ending=ENDINGS,
        retry=st.integers(0, 3),
        other_body=st.sampled_from((False, False, False, True)),
    )
    def submit(self, entry, deadline_ms, run_ms, ending, retry, other_body):
        """Sends a new request or retries an earlier key."""
        if not retry or not self.keys:
            made_ms = self.model.wall_ms()
            self.keys.append(key_made_at(made_ms, len(self.keys)))
        submission = Submission(
            key=self.keys[-min(max(retry, 1), len(self.keys))],
            body='other' if other_body else 'walk',
            run_ms=run_ms,
            ending=ending,
            deadline_ms=deadline_ms,
        )
        self.model.submit(entry, submission)

    @rule(by_ms=STEPS_MS)
    def advance(self, by_ms):
        """Advances the virtual time."""
        self.model.advance(by_ms)

    @rule(entry=ENTRIES, fault=APPEND_FAULTS)
    def spoil_append(self, entry, fault):
        """Injects a fault into the next append of an entry."""
        self.model.log_of(entry).faults.append(fault)

    @rule(entry=ENTRIES)
    def pause(self, entry):
        """Blocks the log replies and target calls of an entry."""
        self.model.log_of(entry).awake.clear()

    @rule(entry=ENTRIES)
    def wake(self, entry):
        """Ends the pause of an entry."""
        self.model.log_of(entry).awake.set()

    @rule(entry=ENTRIES)
    def replace(self, entry):
        """Stops an entry and starts a new one of the same name."""
        self.model.replace_entry(entry)

    @rule(outage=st.booleans())
    def set_outage(self, outage):
        """Starts or ends a log outage."""
        self.model.log.faults.outage = outage

    @rule(sender=ENTRIES, receiver=ENTRIES)
    def cut(self, sender, receiver):
        """Cuts the link from one entry to another."""
        self.model.network.cut(f'entry-{sender}', f'entry-{receiver}')

    @rule()
    def heal(self):
        """Restores all links."""
        self.model.network.heal()

    @rule(place=st.integers(0, 5))
    def disconnect(self, place):
        """Cancels one of the six newest requests, if there is one."""
        if place < len(self.model.submissions):
            self.model.submissions[-1 - place].task.cancel()

    @rule(kept=st.integers(0, 4))
    def expire(self, kept):
        """Expires all but the newest records of the log."""
        self.model.keep_newest(kept)

    @rule(entry=ENTRIES)
    def checkpoint(self, entry):
        """Writes a checkpoint at an entry if one is due."""
        self.model.checkpoint_if_due(entry)

    @invariant()
    def promises_hold(self):
        """No key ran twice, and nothing refused as not run has run."""
        self.model.check()

    def teardown(self):
        """Ends all faults and checks that every request ends."""
        self.model.log.faults.outage = False
        self.model.network.heal()
        for entry in self.model.entries.values():
            entry.log.faults.clear()
            entry.log.awake.set()
        self.model.advance(HEAL_MS)
        self.model.check()
        open_tasks = [
            submission
            for submission in self.model.submissions
            if not submission.task.done()
        ]
        self.model.close()
        assert not open_tasks


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    derandomize=True,
    max_examples=int(os.environ.get('CLAIM_EXAMPLES', '40')),
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
