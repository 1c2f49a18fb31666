"""Tests of the limits of targets that have started lately."""

import asyncio
import dataclasses
import itertools
import json
import random

import pytest

from borageyard.clock import ManualClock
from borageyard.document_validation import DocumentError
from borageyard.failure_domains.cold_targets import (
    MAX_COLD_MS,
    TRANSIT_S,
    ColdTargets,
    pace_of,
)
from borageyard.machine_capacity.machine_limits import NO_COLD_BURST, ColdBurst
from borageyard.platform.documents import DocumentDecoder
from borageyard.roster import RosterRow, TargetPhase
from borageyard.send_permits import FixedLimits, SendClass, SendPermits
from borageyard.serving_configuration import ColdStart, TargetService
from borageyard.standins.gateway_deployment import build_document
from borageyard.standins.limited_fleet import ENGINE, LimitedFleet
from borageyard.standins.virtual_time import in_virtual_time
from tests.test_evacuations import metric
from tests.test_gateway import deployment, wait_until
from tests.test_gateway_limits import send

COLD = ColdStart(duration_ms=20_000, requests_per_s=4)
ROW = RosterRow('t', 'desk', 'h:1', 'a', TargetPhase.READY, incarnation=1)
NEXT = dataclasses.replace(ROW, incarnation=2)
TOLERANCE = ColdBurst(overrun_ratio=1.5, slack_requests=2)


def most_in_a_second(times_s):
    """Returns the maximum of requests in any window of a second."""
    return max(
        (
            sum(start_s <= at_s < start_s + 1 for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


@pytest.fixture
def clock():
    """Returns a clock that moves on demand."""
    return ManualClock(1000)


@pytest.fixture
def cold(clock):
    """Returns cold targets of a service, with one stated limit."""
    known = ColdTargets(FixedLimits({'slow': 1}), clock, TOLERANCE)
    known.configure([TargetService('desk', cold_start=COLD)])
    return known


class TestColdTargets:
    """Guards against bursts at targets that would crash under them."""

    def test_first_targets_have_not_just_started(self, cold):
        """A starting entry must not throttle a warm fleet."""
        cold.note_targets([ROW], initial=True)
        assert cold.rate_of(ROW) is None

    def test_start_lasts_as_long_as_declared(self, cold, clock):
        """Counted from the first sight, by the steady clock of the entry."""
        cold.note_targets([ROW], initial=True)
        cold.note_targets([NEXT])
        clock.advance(COLD.duration_ms - 1)
        # Also while an old row of the target is still in use.
        assert cold.rate_of(ROW) == cold.rate_of(NEXT) == 4
        clock.advance(1)
        assert cold.rate_of(NEXT) is None

    def test_silent_target_that_comes_back_as_it_was(self, cold, clock):
        """Only a new start time makes it cold."""
        cold.note_targets([ROW], initial=True)
        cold.note_targets([])
        cold.note_targets([ROW])
        assert not cold.left_ms(ROW)

    def test_start_that_is_not_in_the_roster_yet(self, cold):
        """Another entry may ask for a permit before the record is read."""
        cold.note_targets([ROW], initial=True)
        assert cold.left_ms(NEXT) == COLD.duration_ms

    def test_record_counts_once(self, cold, clock):
        """The time runs from its first sight; the next record replaces it."""
        row = dataclasses.replace(ROW, cold_left_ms=5000)
        cold.note_targets([row], initial=True)
        clock.advance(4000)
        cold.note_targets([row])
        assert cold.left_ms(row) == 1000
        cold.note_targets([dataclasses.replace(ROW, announcement_number=2)])
        assert not cold.left_ms(ROW)

    @pytest.mark.parametrize(
        ('header', 'left_ms'),
        [
            ('3000', 3000),
            ('0', 0),
            ('-1', 0),
            ('soon', 0),
            ('inf', 0),
            ('1e15', MAX_COLD_MS),
        ],
    )
    def test_answers(self, cold, header, left_ms):
        """A wrong value must not throttle a target for good."""
        cold.note_targets([ROW], initial=True)
        cold.note_answer('t', header)
        cold.note_answer('t', None)
        assert cold.left_ms(ROW) == left_ms

    def test_other_entries_do_not_prolong_each_others_statements(
        self, cold, clock
    ):
        """Messages in turn would keep a target cold for good."""
        cold.note_targets([ROW], initial=True)
        cold.note_told('t', 1, 5000)
        for _ in range(20):
            clock.advance(100)
            cold.note_told('t', 1, cold.left_ms(ROW) + 100)
        assert cold.left_ms(ROW) == 3000
        cold.note_told('t', 7, 90_000)
        assert cold.left_ms(ROW) == 3000

    def test_lower_limit_counts(self, cold):
        """A target that states a limit as well gets the lower rate."""
        slow = dataclasses.replace(ROW, target_id='slow')
        cold.note_targets([slow])
        assert cold.rate_of(slow) == 1

    def test_services_without_a_rate_have_no_limit(self, cold):
        """Earlier deployments declare none."""
        cold.configure([TargetService('desk', cold_start=ColdStart(9000, 0))])
        cold.note_targets([NEXT])
        cold.note_answer('t', '5000')
        assert cold.rate_of(NEXT) is None
        cold.refresh(lambda _: True)
        assert not cold.count()

    def test_many_former_targets(self, cold):
        """Listed targets are never dropped, so none becomes cold by it."""
        cold.note_targets([ROW], initial=True)
        for number in range(9):
            others = [
                dataclasses.replace(ROW, target_id=f'o{number}-{index}')
                for index in range(1000)
            ]
            cold.note_targets([ROW, *others])
        assert not cold.left_ms(ROW)

    def test_document_and_records(self):
        """Odd values don't cost the configuration; odd types cost a target."""
        decoder = DocumentDecoder()
        service = {'name': 'desk', 'coldStartS': 12.5, 'coldPerS': 'many'}
        document = {**build_document(), 'services': [service]}
        (decoded,) = decoder.configuration(
            json.dumps(document).encode()
        ).services.values()
        assert decoded.cold_start == ColdStart(12_500, 0)
        fields = {
            'service': 'desk',
            'address': '10.0.0.1:80',
            'zone': 'a',
            'state': 'ready',
            'slots': 1,
        }
        known_ms = []
        for stated in (700, -5):
            fields['coldLeftMs'] = stated
            row = decoder.target('t', json.dumps(fields).encode())
            known_ms.append(row.cold_left_ms)
        assert known_ms == [700, 0]
        for odd in ('long', None):
            fields['coldLeftMs'] = odd
            with pytest.raises(DocumentError, match='coldLeftMs'):
                decoder.target('t', json.dumps(fields).encode())


RATES = (0.3, 1, 2, 2.5, 4, 20)
TOLERANCES = (NO_COLD_BURST, ColdBurst(1.2, 0), ColdBurst(1.5, 5))


class TestReplay:
    """A failure domain that comes back cold and is asked by 30 entries."""

    @pytest.mark.parametrize('tolerance', TOLERANCES)
    @pytest.mark.parametrize('rate_per_s', RATES)
    def test_no_second_exceeds_the_bound(self, rate_per_s, tolerance):
        """Sends take different times from their permits to the target."""
        chance = random.Random(rate_per_s)
        declared = ColdStart(60_000, rate_per_s)
        clock = ManualClock()
        cold = ColdTargets(FixedLimits({}), clock, tolerance)
        cold.configure([TargetService('desk', cold_start=declared)])
        rows = [
            dataclasses.replace(ROW, target_id=f't{number}')
            for number in range(6)
        ]
        cold.note_targets(rows)
        permits = SendPermits(cold)
        arrivals_s = {row.target_id: [] for row in rows}
        # 30 entries with 10 requests a second each, for 20 s; no requests for
        # 5 s in between, so that permits accumulate.
        for now_ms in itertools.chain(
            range(0, 10_000, 3), range(15_000, 25_000, 3)
        ):
            clock.now_ms = now_ms
            row = chance.choice(rows)
            kind = chance.choice(list(SendClass))
            if not permits.take(row, now_ms, kind):
                transit_s = chance.random() * TRANSIT_S
                arrivals_s[row.target_id].append(now_ms / 1000 + transit_s)
        allowed = (
            rate_per_s * tolerance.overrun_ratio + tolerance.slack_requests
        )
        pace = pace_of(declared, tolerance)
        for times_s in arrivals_s.values():
            assert most_in_a_second(times_s) <= max(allowed, 1)
            # Without permits in store, some wait for the next request.
            assert len(times_s) >= 0.7 * 20 * pace.rate_per_s - 2

    @pytest.mark.parametrize('fault', ['none', 'scheduler dies', 'cut'])
    @in_virtual_time
    async def test_entries_share_the_permits_of_one_issuer(self, fault):
        """Entries that choose targets themselves, and placed requests."""
        async with LimitedFleet(30, seed=1).serving() as fleet:
            await fleet.run(4)
            declared = ColdStart(60_000, 4)
            for entry in fleet.entries.values():
                entry.cold._tolerance = TOLERANCE
                entry.cold.configure(
                    [TargetService(ENGINE.service, cold_start=declared)]
                )
                entry.cold.note_targets([ENGINE])
            await asyncio.sleep(0.05)
            fleet.arrivals_s.clear()
            await fleet.run(3)
            if fault == 'scheduler dies':
                await fleet.kill(fleet.schedulers().pop())
            elif fault == 'cut':
                fleet.cut([*fleet.schedulers(), *fleet.names[:4]])
            await fleet.run(12)
            assert most_in_a_second(fleet.arrivals_s) <= 4 * 1.5 + 2
            assert len(fleet.arrivals_s) >= 4 * 10


class TestGateways:
    """Gateways whose targets come back cold."""

    @pytest.mark.parametrize('service', ['desk', 'model', 'planner'])
    async def test_targets_that_start_again(self, service):
        """All get a few requests only, of both gateways together."""
        async with deployment() as callers:
            document = build_document(2)
            for declared in document['services']:
                declared.update(coldStartS=30, coldPerS=2)
            callers.running.configure(document)
            states = [callers.state(number) for number in range(2)]
            await wait_until(lambda: all(one.version == 2 for one in states))
            # Warm targets have no limit.
            replies = [
                await send(callers, service, number) for number in range(8)
            ]
            assert {reply.status for reply in replies} == {200}
            targets = callers.targets(service)
            for restarted in targets:
                restarted.restart()
            colds = [
                running.gateway.dependencies.cold
                for running in callers.running.gateways
            ]
            await wait_until(
                lambda: all(
                    one.is_cold(awaited.plan.target_id)
                    for one in colds
                    for awaited in targets
                )
            )
            for target in targets:
                target.arrivals_s.clear()
            for _ in range(3):
                await asyncio.gather(
                    *(send(callers, service, number) for number in range(12))
                )
                await asyncio.sleep(0.3)
            for target in targets:
                assert most_in_a_second(target.arrivals_s) <= 2
            assert any(used.arrivals_s for used in targets)
            cold_count = await metric(callers, 'borageyard_cold_targets')
            assert cold_count == len(targets)
