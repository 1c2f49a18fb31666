"""Model test of the serving permission with faults at every step."""

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from borageyard.backing_services import (
    MemoryLog,
    OffsetExpiredError,
    PlatformError,
)
from borageyard.clock import ManualClock
from borageyard.configuration_log import (
    CONFIGURATION_STREAM,
    ConfigurationFold,
)
from borageyard.permission import (
    AcceptanceTracker,
    PeerPosition,
    PermissionHolder,
)

# A longer run: BORAGEYARD_EXAMPLES=5000 pytest tests/test_permission.py
EXAMPLES = int(os.environ.get('BORAGEYARD_EXAMPLES', '60'))
STEPS = int(os.environ.get('BORAGEYARD_STEPS', '80'))
MAX_ENTRIES = 6
KEPT_ENTRIES = 12
NAMES = tuple(f'entry-{index}' for index in range(MAX_ENTRIES))
RETENTION_MS = 1e12
APPENDS_PER_S = 1e9
RATES = (0.996, 1.0, 1.004)
INDEX = st.integers(min_value=0, max_value=11)


def document(permission_ms, weight=1):
    """Returns the smallest configuration with a permission time."""
    return {
        'format': 1,
        'permission_ms': permission_ms,
        'organisations': {'owner': {'weight': weight}},
        'services': {'desk': {'kind': 'plain'}},
        'pipelines': {'loan': {'stages': [{'name': 'a', 'service': 'desk'}]}},
    }


class SkewedClock:
    """Clock of one machine: its own start and its own rate."""

    def __init__(self, clock, offset_ms, rate):
        """Follows a true clock."""
        self._clock = clock
        self._offset_ms = offset_ms
        self._rate = rate

    def steady_ms(self):
        """Returns the time as this machine sees it."""
        return self._offset_ms + self._clock.now_ms * self._rate

    def wall_ms(self):
        """Returns the same as the steady time."""
        return self.steady_ms()


class ModelEntry:
    """One incarnation of an entry."""

    def __init__(self, name, incarnation, clock):
        """Starts with nothing folded."""
        self.name = name
        self.member = f'{name}#{incarnation}'
        self.clock = clock
        self.fold = ConfigurationFold()
        self.holder = PermissionHolder(self.fold, self.member, clock)
        self.tracker = AcceptanceTracker(self.fold, self.member, clock)
        self.alive = True
        self.paused = False
        self.cut = False
        self.version = 0

    @property
    def acts(self):
        """Tells whether it can send and receive."""
        return self.alive and not self.paused


class Exchange:
    """A question on its way, then its answer on its way back."""

    def __init__(self, kind, asker, peer=None):
        """Sends the question now."""
        self.kind = kind
        self.asker = asker
        self.peer = peer
        self.sent_at_ms = asker.clock.steady_ms()
        self.offset = asker.fold.state.next_offset
        self.is_member = asker.holder.is_member
        self.answer = None


class FixedMembershipMachine(RuleBasedStateMachine):
    """Entries, their log and everything that can go wrong between them."""

    def __init__(self):
        """Starts with a log."""
        super().__init__()
        self.clock = ManualClock()
        self.log = MemoryLog(self.clock, RETENTION_MS, APPENDS_PER_S)
        self.entries = []
        self.in_flight = []
        self.incarnations = 0
        self.accepted = 0

    @initialize(count=st.integers(min_value=2, max_value=5))
    def begin(self, count):
        """Applies the first configuration and starts entries."""
        self.append({'type': 'apply', 'base_version': 0, **change(1000)})
        for index in range(count):
            self.start(f'entry-{index}', 1)
        self.read_all()
        for entry in self.entries:
            self.probe_all(entry)
        self.nobody_admits_under_what_was_replaced()
        self.append({'type': 'accepted', 'position': self.accepted})
        self.read_all()

    @rule(index=INDEX, permission_ms=st.sampled_from((300, 1000, 2000)))
    def apply(self, index, permission_ms):
        """An operator applies a change on what an entry knows."""
        entry = self.pick(index)
        if entry.acts and not entry.cut:
            version = entry.fold.version
            self.append(
                {
                    'type': 'apply',
                    'base_version': version,
                    **change(permission_ms),
                }
            )

    @rule(index=INDEX)
    def read(self, index):
        """An entry reads the log at once."""
        entry = self.pick(index)
        if entry.acts:
            exchange = Exchange('read', entry)
            if self.serve_one(exchange):
                self.deliver_one(exchange)

    @rule()
    def read_all(self):
        """All entries read the log."""
        for entry in self.entries:
            self.read(entry)

    @rule(index=INDEX)
    def probe_all(self, index):
        """An entry asks all others and gets their answers."""
        entry = self.pick(index)
        if entry.acts:
            for peer in self.entries:
                self.probe(entry, peer)

    @rule(index=INDEX, other=INDEX)
    def probe(self, index, other):
        """An entry asks another and gets its answer."""
        entry = self.pick(index)
        peer = self.pick(other)
        if entry.acts and peer is not entry:
            exchange = Exchange('probe', entry, peer)
            if self.serve_one(exchange):
                self.deliver_one(exchange)

    @rule(
        index=INDEX,
        other=INDEX,
        kind=st.sampled_from(('read', 'probe', 'probe', 'state')),
    )
    def send(self, index, other, kind):
        """An entry asks the log or a peer; the question takes time."""
        entry = self.pick(index)
        if entry.acts and len(self.in_flight) < 12:
            self.in_flight.append(Exchange(kind, entry, self.pick(other)))

    @precondition(lambda machine: machine.in_flight)
    @rule(index=INDEX)
    def serve(self, index):
        """A question arrives."""
        self.serve_one(self.in_flight[index % len(self.in_flight)])

    @precondition(lambda machine: machine.in_flight)
    @rule(index=INDEX, again=st.booleans())
    def deliver(self, index, again):
        """An answer arrives, out of order and perhaps twice."""
        exchange = self.in_flight[index % len(self.in_flight)]
        if exchange.answer is None and not self.serve_one(exchange):
            return
        if exchange.asker.acts:
            self.deliver_one(exchange)
            if not again:
                self.in_flight.remove(exchange)

    @precondition(lambda machine: machine.in_flight)
    @rule(index=INDEX)
    def drop(self, index):
        """A question or its answer is lost."""
        self.in_flight.pop(index % len(self.in_flight))

    @rule(index=INDEX)
    def cut(self, index):
        """An entry loses the log or finds it again."""
        entry = self.pick(index)
        entry.cut = not entry.cut

    @rule()
    def outage(self):
        """The log goes away or comes back."""
        self.log.faults.outage = not self.log.faults.outage

    @rule(by_ms=st.sampled_from((1, 200, 500, 800, 1010)))
    def advance(self, by_ms):
        """Time passes."""
        self.clock.advance(by_ms)

    @invariant()
    def nobody_admits_under_what_was_replaced(self):
        """After acceptance no entry admits at an earlier position."""
        for entry in self.entries:
            if entry.acts:
                entry.tracker.note_fold()
                self.accepted = max(self.accepted, entry.tracker.evaluate())
        for entry in self.entries:
            if entry.alive and entry.holder.check() is None:
                assert entry.fold.state.changed_at >= self.accepted

    @invariant()
    def versions_never_revert(self):
        """An entry's version only goes up."""
        for entry in self.entries:
            assert entry.fold.version >= entry.version
            entry.version = entry.fold.version

    @invariant()
    def folds_agree(self):
        """Entries that have folded as much have the same state."""
        seen = {}
        for entry in self.entries:
            state = entry.fold.state
            found = (state.version, state.changed_at, state.memberships)
            assert seen.setdefault(state.next_offset, found) == found

    def pick(self, index):
        """Returns one of the entries."""
        if isinstance(index, ModelEntry):
            return index
        return self.entries[index % len(self.entries)]

    def append(self, body):
        """Appends unless the log is away."""
        if not self.log.faults.outage:
            self.log.append_now(CONFIGURATION_STREAM, body)

    def start(self, name, rate):
        """Starts an incarnation; an earlier one may still be running."""
        self.incarnations += 1
        clock = SkewedClock(self.clock, 1000 * self.incarnations, rate)
        entry = ModelEntry(name, self.incarnations, clock)
        self.entries.append(entry)
        self.entries = self.entries[-KEPT_ENTRIES:]
        self.append({'type': 'join', 'member': entry.member})

    def serve_one(self, exchange):
        """Lets the log or a peer answer; tells whether it did."""
        if exchange.kind == 'read':
            exchange.answer = self.serve_read(exchange)
        elif exchange.peer.acts:
            exchange.answer = self.serve_peer(exchange)
        return exchange.answer is not None

    def serve_read(self, exchange):
        """Returns a page, the records after a gap, or nothing."""
        if exchange.asker.cut or self.log.faults.outage:
            return None
        try:
            return self.log.read_now(CONFIGURATION_STREAM, exchange.offset)
        except OffsetExpiredError as error:
            return error

    def serve_peer(self, exchange):
        """Returns what a peer answers."""
        peer = exchange.peer
        if exchange.kind == 'state':
            return peer.fold.checkpoint()
        return peer.holder.reply_to_peer(requester_is_member=exchange.is_member)

    def deliver_one(self, exchange):
        """Hands an answer to whoever asked."""
        entry = exchange.asker
        answer = exchange.answer
        if exchange.kind == 'state':
            entry.fold.adopt(answer)
        elif exchange.kind == 'probe':
            peer_position = PeerPosition(exchange.sent_at_ms, answer.position)
            entry.holder.note_peer_position(exchange.peer.member, peer_position)
            entry.tracker.note_ack(
                exchange.peer.member,
                answer.position,
                answer.guest_ms,
            )
        elif isinstance(answer, OffsetExpiredError):
            page = self.log.read_now(
                CONFIGURATION_STREAM,
                max(answer.start, self.log_start()),
            )
            entry.fold.recover(page.records, page.start)
        elif exchange.offset <= entry.fold.state.next_offset:
            entry.fold.fold_page(answer)
            entry.holder.note_head(exchange.sent_at_ms, answer.head)
        entry.tracker.note_fold()

    def log_start(self):
        """Returns the oldest offset kept, also in an outage."""
        outage = self.log.faults.outage
        self.log.faults.outage = False
        try:
            start = self.log.read_now(CONFIGURATION_STREAM, 0).start
        except OffsetExpiredError as error:
            start = error.start
        self.log.faults.outage = outage
        return start


class ChangingMembershipMachine(FixedMembershipMachine):
    """Entries that also come, go, pause and die, and records that expire."""

    @rule(index=INDEX, rate=st.sampled_from(RATES))
    def join(self, index, rate):
        """A new entry starts, perhaps under the name of an earlier one."""
        if sum(entry.alive for entry in self.entries) < MAX_ENTRIES:
            self.start(NAMES[index % MAX_ENTRIES], rate)

    @rule(index=INDEX)
    def rejoin(self, index):
        """An entry that is not known appends its join."""
        entry = self.pick(index)
        if entry.acts and not entry.cut and not entry.holder.is_member:
            self.append({'type': 'join', 'member': entry.member})

    @rule(index=INDEX, other=INDEX)
    def leave(self, index, other):
        """The list is wrong: an entry that may live is taken for gone."""
        entry = self.pick(index)
        if entry.acts and not entry.cut:
            member = self.pick(other).member
            self.append({'type': 'leave', 'member': member})

    @rule(index=INDEX)
    def stop(self, index):
        """An entry closes and says so."""
        entry = self.pick(index)
        if entry.acts and not entry.cut:
            entry.holder.closed = True
            self.append(
                {'type': 'leave', 'member': entry.member, 'final': True},
            )

    @rule(index=INDEX)
    def record_accepted(self, index):
        """An entry records what it found to be accepted."""
        entry = self.pick(index)
        position = entry.tracker.accepted
        if entry.acts and not entry.cut:
            self.append({'type': 'accepted', 'position': position})

    @rule(index=INDEX)
    def checkpoint(self, index):
        """An entry writes its state, which may be behind by now."""
        entry = self.pick(index)
        if entry.acts and not entry.cut:
            self.append(entry.fold.checkpoint())

    @rule()
    def expire(self):
        """Everything before the last checkpoint's state expires."""
        try:
            start = self.log.read_now(CONFIGURATION_STREAM, 0).start
        except OffsetExpiredError as error:
            start = error.start
        except PlatformError:
            return
        page = self.log.read_now(CONFIGURATION_STREAM, start)
        for stored in page.records:
            if stored.body['type'] == 'checkpoint':
                start = stored.body['next_offset']
        self.log.expire_before(CONFIGURATION_STREAM, start)

    @rule(index=INDEX)
    def pause(self, index):
        """An entry is paused or goes on."""
        entry = self.pick(index)
        entry.paused = not entry.paused

    @rule(index=INDEX)
    def die(self, index):
        """An entry dies."""
        self.pick(index).alive = False


def change(permission_ms):
    """Returns the fields of a change."""
    return {'document': document(permission_ms)}


def run_model(machine):
    """Runs a machine with the seeds of this test."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )


class TestPermissionProtocol:
    """The serving permission under all faults together."""

    def test_fixed_set(self):
        """No entry admits under a version older than an accepted one."""
        run_model(FixedMembershipMachine)

    def test_changing_set(self):
        """The same while entries come, go, pause and die."""
        run_model(ChangingMembershipMachine)
