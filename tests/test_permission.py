"""Model test of the serving permission with faults at any step."""

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
    """Returns a minimal configuration document."""
    return {
        'format': 1,
        'permission_ms': permission_ms,
        'organisations': {'owner': {'weight': weight}},
        'services': {'desk': {'kind': 'plain'}},
        'pipelines': {'loan': {'stages': [{'name': 'a', 'service': 'desk'}]}},
    }


class SkewedClock:
    """Clock of one machine, with an offset and a rate of its own."""

    def __init__(self, clock, offset_ms, rate):
        """Derives the clock from the true one."""
        self._clock = clock
        self._offset_ms = offset_ms
        self._rate = rate

    def steady_ms(self):
        """Returns the time on this machine's clock."""
        return self._offset_ms + self._clock.now_ms * self._rate

    def wall_ms(self):
        """Returns the same as `steady_ms`."""
        return self.steady_ms()


class ModelEntry:
    """One incarnation of an entry."""

    def __init__(self, name, incarnation, clock):
        """Creates the entry with nothing folded."""
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
    def can_act(self):
        """Returns whether it can send and receive."""
        return self.alive and not self.paused


class Exchange:
    """A request in transit, or its reply once there is one."""

    def __init__(self, kind, requester, peer=None):
        """Sends the request now."""
        self.kind = kind
        self.requester = requester
        self.peer = peer
        self.sent_at_ms = requester.clock.steady_ms()
        self.offset = requester.fold.state.next_offset
        self.is_member = requester.holder.is_member
        self.answer = None


class FixedMembershipMachine(RuleBasedStateMachine):
    """Fixed entries and their log, with faults between them."""

    def __init__(self):
        """Creates an empty log without entries."""
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
        """An operator applies a change based on the version of an entry."""
        entry = self.pick(index)
        if entry.can_act and not entry.cut:
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
        """An entry reads the log without delay."""
        entry = self.pick(index)
        if entry.can_act:
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
        """An entry probes all others and gets their replies."""
        entry = self.pick(index)
        if entry.can_act:
            for peer in self.entries:
                self.probe(entry, peer)

    @rule(index=INDEX, other=INDEX)
    def probe(self, index, other):
        """An entry probes another and gets its reply."""
        entry = self.pick(index)
        peer = self.pick(other)
        if entry.can_act and peer is not entry:
            exchange = Exchange('probe', entry, peer)
            if self.serve_one(exchange):
                self.deliver_one(exchange)

    @rule(
        index=INDEX,
        other=INDEX,
        kind=st.sampled_from(('read', 'probe', 'probe', 'state')),
    )
    def send(self, index, other, kind):
        """An entry sends a request to the log or a peer; it takes time."""
        entry = self.pick(index)
        if entry.can_act and len(self.in_flight) < 12:
            self.in_flight.append(Exchange(kind, entry, self.pick(other)))

    @precondition(lambda machine: machine.in_flight)
    @rule(index=INDEX)
    def serve(self, index):
        """A request arrives."""
        self.serve_one(self.in_flight[index % len(self.in_flight)])

    @precondition(lambda machine: machine.in_flight)
    @rule(index=INDEX, again=st.booleans())
    def deliver(self, index, again):
        """A reply arrives, out of order and perhaps twice."""
        exchange = self.in_flight[index % len(self.in_flight)]
        if exchange.answer is None and not self.serve_one(exchange):
            return
        if exchange.requester.can_act:
            self.deliver_one(exchange)
            if not again:
                self.in_flight.remove(exchange)

    @precondition(lambda machine: machine.in_flight)
    @rule(index=INDEX)
    def drop(self, index):
        """A request or its reply is lost."""
        self.in_flight.pop(index % len(self.in_flight))

    @rule(index=INDEX)
    def cut(self, index):
        """An entry loses or regains its connection to the log."""
        entry = self.pick(index)
        entry.cut = not entry.cut

    @rule()
    def outage(self):
        """The log becomes unavailable or available for all."""
        self.log.faults.outage = not self.log.faults.outage

    @rule(by_ms=st.sampled_from((1, 200, 500, 800, 1010)))
    def advance(self, by_ms):
        """Time passes."""
        self.clock.advance(by_ms)

    @invariant()
    def nobody_admits_under_what_was_replaced(self):
        """Once a position is accepted, no entry admits work below it."""
        for entry in self.entries:
            if entry.can_act:
                entry.tracker.note_fold()
                self.accepted = max(self.accepted, entry.tracker.evaluate())
        for entry in self.entries:
            if entry.alive and entry.holder.check() is None:
                assert entry.fold.state.changed_at >= self.accepted

    @invariant()
    def versions_never_revert(self):
        """The version of an entry never decreases."""
        for entry in self.entries:
            assert entry.fold.version >= entry.version
            entry.version = entry.fold.version

    @invariant()
    def folds_agree(self):
        """Entries that have folded the same records have the same state."""
        seen = {}
        for entry in self.entries:
            state = entry.fold.state
            found = (state.version, state.changed_at, state.memberships)
            assert seen.setdefault(state.next_offset, found) == found

    def pick(self, index):
        """Returns an entry by its index modulo their number."""
        if isinstance(index, ModelEntry):
            return index
        return self.entries[index % len(self.entries)]

    def append(self, body):
        """Appends a record unless the log is unavailable."""
        if not self.log.faults.outage:
            self.log.append_now(CONFIGURATION_STREAM, body)

    def start(self, name, rate):
        """Starts an incarnation; an earlier one may still be running.

        Only the last `KEPT_ENTRIES` incarnations are kept.
        """
        self.incarnations += 1
        clock = SkewedClock(self.clock, 1000 * self.incarnations, rate)
        entry = ModelEntry(name, self.incarnations, clock)
        self.entries.append(entry)
        self.entries = self.entries[-KEPT_ENTRIES:]
        self.append({'type': 'join', 'member': entry.member})

    def serve_one(self, exchange):
        """Lets the log or a peer reply; returns whether it did."""
        if exchange.kind == 'read':
            exchange.answer = self.serve_read(exchange)
        elif exchange.peer.can_act:
            exchange.answer = self.serve_peer(exchange)
        return exchange.answer is not None

    def serve_read(self, exchange):
        """Returns a page, the error for expired records, or none."""
        if exchange.requester.cut or self.log.faults.outage:
            return None
        try:
            return self.log.read_now(CONFIGURATION_STREAM, exchange.offset)
        except OffsetExpiredError as error:
            return error

    def serve_peer(self, exchange):
        """Returns the reply of a peer."""
        peer = exchange.peer
        if exchange.kind == 'state':
            return peer.fold.checkpoint()
        return peer.holder.reply_to_peer(requester_is_member=exchange.is_member)

    def deliver_one(self, exchange):
        """Delivers a reply to the entry that sent the request."""
        entry = exchange.requester
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
        """Returns the oldest offset kept, even during an outage."""
        outage = self.log.faults.outage
        self.log.faults.outage = False
        try:
            start = self.log.read_now(CONFIGURATION_STREAM, 0).start
        except OffsetExpiredError as error:
            start = error.start
        self.log.faults.outage = outage
        return start


class ChangingMembershipMachine(FixedMembershipMachine):
    """Entries that also join, leave, pause and crash; records expire."""

    @rule(index=INDEX, rate=st.sampled_from(RATES))
    def join(self, index, rate):
        """A new entry starts, perhaps with the name of an earlier one."""
        if sum(entry.alive for entry in self.entries) < MAX_ENTRIES:
            self.start(NAMES[index % MAX_ENTRIES], rate)

    @rule(index=INDEX)
    def rejoin(self, index):
        """An entry that is not a member appends a join record."""
        entry = self.pick(index)
        if entry.can_act and not entry.cut and not entry.holder.is_member:
            self.append({'type': 'join', 'member': entry.member})

    @rule(index=INDEX, other=INDEX)
    def leave(self, index, other):
        """An entry is removed that may still run, as after a wrong list."""
        entry = self.pick(index)
        if entry.can_act and not entry.cut:
            member = self.pick(other).member
            self.append({'type': 'leave', 'member': member})

    @rule(index=INDEX)
    def stop(self, index):
        """An entry closes and appends a final leave record."""
        entry = self.pick(index)
        if entry.can_act and not entry.cut:
            entry.holder.closed = True
            self.append(
                {'type': 'leave', 'member': entry.member, 'final': True},
            )

    @rule(index=INDEX)
    def record_accepted(self, index):
        """An entry appends its accepted position."""
        entry = self.pick(index)
        position = entry.tracker.accepted
        if entry.can_act and not entry.cut:
            self.append({'type': 'accepted', 'position': position})

    @rule(index=INDEX)
    def checkpoint(self, index):
        """An entry appends a checkpoint, which may be outdated by now."""
        entry = self.pick(index)
        if entry.can_act and not entry.cut:
            self.append(entry.fold.checkpoint())

    @rule()
    def expire(self):
        """All records that the last checkpoint covers expire."""
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
        """An entry is paused or resumed."""
        entry = self.pick(index)
        entry.paused = not entry.paused

    @rule(index=INDEX)
    def die(self, index):
        """An entry crashes."""
        self.pick(index).alive = False


def change(permission_ms):
    """Returns the document field of an apply record."""
    return {'document': document(permission_ms)}


def run_model(machine):
    """Runs a state machine with the fixed seed of this test."""
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
    """The serving permission under combined faults."""

    def test_fixed_set(self):
        """No entry admits work under a version older than the accepted one."""
        run_model(FixedMembershipMachine)

    def test_changing_set(self):
        """The same holds while entries join, leave, pause and crash."""
        run_model(ChangingMembershipMachine)
