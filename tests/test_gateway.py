"""Tests of gateways over sockets, on stand-ins of the users' platform."""

import asyncio
import contextlib
import dataclasses
import json

import pytest

from borageyard.chains import ChainSpec
from borageyard.engine_placer import Prompt
from borageyard.http_client import HttpCall, HttpCallError, HttpClient
from borageyard.plans import Grant, Plan
from borageyard.standins.gateway_deployment import (
    API_KEY,
    GRACE_MS,
    HOST,
    ORGANISATION,
    TARGET_PLANS,
    GatewayDeployment,
    build_document,
    poll_periodically,
)
from borageyard.standins.registered_target import CrashPlan
from borageyard.standins.target_partition import PartitionMode

TIMEOUT_S = 20
ALL_EVENTS = (1, 2, 3, 4, 5)


@contextlib.asynccontextmanager
async def deployment(gateways=2, plans=TARGET_PLANS, grace_ms=GRACE_MS):
    """Runs a deployment and a client for its callers."""
    async with (
        asyncio.timeout(TIMEOUT_S),
        GatewayDeployment(gateways, plans, grace_ms).running() as running,
        HttpClient() as client,
    ):
        yield Callers(running, client)


class Callers:
    """Sends requests as a caller and inspects the deployment."""

    def __init__(self, running, client):
        """Wraps a running deployment."""
        self.running = running
        self.client = client
        self.sent = 0

    async def call(self, path, method='GET', gateway=0, **headers):
        """Sends a request and returns the reply."""
        self.sent += 1
        call = HttpCall(
            self.running.gateways[gateway].address,
            method,
            path,
            headers={
                'host': HOST,
                'x-attempt-id': f'attempt-{self.sent}',
                'x-deadline-ms': '2500',
                'authorization': f'Token {API_KEY}',
                **{
                    name.replace('_', '-'): text
                    for name, text in headers.items()
                },
            },
            timeout_ms=5000,
            repeatable=False,
        )
        return await self.client.request(call)

    async def stream(self, path='/brief/x', pieces='2,1', **headers):
        """Sends a prompt and returns the reply with its event stream."""
        return await self.call(
            path,
            'POST',
            x_pieces=pieces,
            x_piece_key='abc',
            x_model='m',
            x_token_count='100,20',
            x_prefix_hash='aa:60,bb:40',
            **headers,
        )

    def state(self, gateway):
        """Returns the fleet state of a gateway."""
        return self.running.gateways[gateway].gateway.state

    def targets(self, service):
        """Returns the targets of a service."""
        return [
            target
            for target in self.running.targets.values()
            if target.plan.service == service
        ]

    def runs(self, service):
        """Returns the request ids that targets of a service ran."""
        return [run for target in self.targets(service) for run in target.runs]

    def set_faults(self, service, **faults):
        """Sets the same faults on all targets of a service."""
        for target in self.targets(service):
            for name, count in faults.items():
                setattr(target.faults, name, count)


async def wait_until(condition):
    """Polls until a condition holds."""
    async for _ in poll_periodically():
        if condition():
            return


def changed_document(version, change):
    """Returns a document that differs from the first one every second time."""
    document = build_document(version)
    if version % 2:
        return document
    if change == 'route dropped':
        document['routes'] = document['routes'][1:2]
    elif change == 'service dropped':
        document['routes'] = document['routes'][:2]
        document['services'] = document['services'][:1]
    elif change == 'groups joined':
        document['routes'][1]['stages'] = [
            {'service': 'planner', 'after': [], 'bytes': 1000}
        ]
    else:
        document['routes'][2]['service'] = 'desk'
        document['routes'][0]['service'] = 'model'
    return document


def events(reply):
    """Returns the event ids of a stream, as numbers."""
    lines = reply.body.decode().split('\n')
    return [int(line[4:]) for line in lines if line.startswith('id: ')]


class TestPlain:
    """Requests to services whose answers are not streamed."""

    async def test_answer_is_the_targets(self):
        """The target receives path and query, the caller the signed answer."""
        async with deployment() as callers:
            reply = await callers.call('/read/a?b=c%20d')
            assert reply.status == 200
            assert reply.body == b'GET /read/a?b=c%20d attempt-1'
            assert reply.headers['x-server-stamp'].endswith('attempt-1')
            (target,) = [
                target for target in callers.targets('desk') if target.runs
            ]
            assert target.tenants == [ORGANISATION]

    @pytest.mark.parametrize(
        ('path', 'headers', 'status'),
        [
            ('/none/a', {}, 404),
            ('/read/a', {'authorization': 'Token wrong'}, 401),
            ('/read/a', {'host': 'other.example'}, 404),
        ],
    )
    async def test_what_no_configuration_allows(self, path, headers, status):
        """Requests with unknown routes or keys are refused and never sent."""
        async with deployment() as callers:
            reply = await callers.call(path, **headers)
            assert reply.status == status
            assert not callers.runs('desk')

    async def test_failure_of_an_idempotent_request_is_repeated(self):
        """A request that failed at one target is retried at another."""
        async with deployment() as callers:
            callers.targets('desk')[0].faults.fail = 1
            replies = [await callers.call('/read/a') for _ in range(4)]
            assert {reply.status for reply in replies} == {200}
            assert len(callers.runs('desk')) == 5

    async def test_reset_of_a_non_idempotent_request_is_not(self):
        """It is not sent again, because it may have run."""
        async with deployment() as callers:
            callers.set_faults('desk', reset=1)
            reply = await callers.call('/book/a', 'POST')
            assert reply.status == 502
            assert callers.runs('desk') == ['attempt-1']

    async def test_rejection_is_sent_elsewhere(self):
        """A request that a target rejected unrun is sent to another one."""
        async with deployment() as callers:
            callers.targets('desk')[0].faults.reject = 1
            replies = [await callers.call('/book/a', 'POST') for _ in range(4)]
            assert {reply.status for reply in replies} == {200}
            assert len(callers.runs('desk')) == 4

    async def test_rejection_by_all_is_a_true_refusal(self):
        """The refusal has a retry time, and no target ran the request."""
        async with deployment() as callers:
            callers.set_faults('desk', reject=9)
            reply = await callers.call('/book/a', 'POST')
            assert reply.status == 503
            assert float(reply.headers['retry-after']) > 0
            assert not callers.runs('desk')

    async def test_target_at_a_reused_address_runs_nothing(self):
        """A target that is not the expected one runs nothing and is avoided.

        Two targets swap addresses, so that each one gets the requests that
        are meant for the other.
        """
        async with deployment() as callers:
            desk = callers.targets('desk')
            addresses = [target.address for target in reversed(desk)]
            for target, address in zip(desk, addresses, strict=True):
                target.address = address
            for target in desk:
                target.announce('ready')
            rosters = [
                running.gateway.state.roster
                for running in callers.running.gateways
            ]
            await wait_until(
                lambda: all(
                    roster.find('desk-0').address == desk[0].address
                    for roster in rosters
                ),
            )
            reply = await callers.call('/read/a')
            assert reply.status == 503
            assert not callers.runs('desk')


class TestCrashingRequests:
    """Quarantine of requests that crash the targets that run them."""

    async def crash_both(self, callers):
        """Lets a request crash both targets, then restarts them."""
        callers.set_faults('desk', crashed_by='/read/bad')
        await callers.call('/read/bad')
        desk = callers.targets('desk')
        assert [len(target.runs) for target in desk] == [1, 1]
        watches = [
            running.gateway.sender.correlator
            for running in callers.running.gateways
        ]
        await wait_until(
            lambda: all(watch.quarantine.records(0) for watch in watches),
        )
        for target in desk:
            target.restart()
        await wait_until(
            lambda: all(
                len(callers.state(number).roster.ready('desk')) == 2
                for number in range(2)
            ),
        )

    async def test_no_entry_sends_it_again(self):
        """Peers are notified at once, and no entry runs the request again."""
        async with deployment() as callers:
            await self.crash_both(callers)
            for number in range(2):
                reply = await callers.call('/read/bad', gateway=number)
                assert reply.status == 503
                assert float(reply.headers['retry-after']) > 10
            assert len(callers.runs('desk')) == 2

    async def test_silent_crashes_go_on(self):
        """A request at whose deadline its target has gone dark is blamed."""
        async with deployment() as callers:
            callers.set_faults(
                'desk',
                crashed_by='/read/bad',
                crash=CrashPlan(silent=True, restart_ms=None),
            )
            await callers.call('/read/bad', x_deadline_ms='300')
            await callers.call('/read/bad', x_deadline_ms='300')
            for number in range(2):
                await self.wait_until_refused(callers, number)

    async def wait_until_refused(self, callers, number):
        """Waits until a gateway refuses the request as quarantined."""
        async for _ in poll_periodically():
            reply = await callers.call('/read/bad', gateway=number)
            if float(reply.headers.get('retry-after', 0)) > 10:
                return

    async def test_partition_is_taken_for_crashes(self):
        """Resets and refusals of all targets crash no request."""
        async with deployment() as callers:
            running = callers.running.gateways[0]
            callers.set_faults('desk', reset=1)
            await callers.call('/read/a', gateway=0)
            running.partition.begin(PartitionMode.RESET)
            for _ in range(3):
                await callers.call('/read/b', gateway=0)
            await asyncio.sleep(1)
            assert not running.gateway.sender.correlator.quarantine.records(0)

    async def test_others_are_served(self):
        """Other requests on the same route are served."""
        async with deployment() as callers:
            await self.crash_both(callers)
            for number in range(2):
                reply = await callers.call('/read/good', gateway=number)
                assert reply.status == 200


class TestMetrics:
    """Counters and histograms of a gateway."""

    async def test_answers_are_counted(self):
        """Responses are counted by status and refusals by kind."""
        async with deployment(1) as callers:
            await callers.call('/read/a')
            await callers.call('/none/a')
            gateway = callers.running.gateways[0].gateway
            address = gateway.settings.metrics_address
            call = HttpCall(address, 'GET', '/metrics')
            text = (await callers.client.request(call)).body.decode()
            assert 'borageyard_answers_total{status="200"} 1' in text
            assert 'kind="not_found"' in text
            assert 'borageyard_answer_head_ms_bucket' in text


class TestStreams:
    """Prompts with stages, answered by event streams."""

    async def test_stages_run_before_the_engine(self):
        """Each piece runs once and is freed after the engine has read it."""
        async with deployment() as callers:
            reply = await callers.stream()
            assert events(reply) == [1, 2, 3, 4, 5]
            finished_pieces = [
                piece
                for target in callers.targets('planner')
                for piece in target.pieces
            ]
            assert sorted(finished_pieces) == [
                'attempt-1/0/0',
                'attempt-1/0/1',
                'attempt-1/1/0',
            ]
            await wait_until(lambda: not callers.running.results)

    async def test_stream_goes_on_at_another_engine(self):
        """A resumed stream loses and repeats no event and keeps its headers."""
        async with deployment() as callers:
            callers.set_faults('model', break_after=2)
            callers.targets('model')[0].faults.break_after = None
            replies = [await callers.stream() for _ in range(4)]
            assert all(events(reply) == list(ALL_EVENTS) for reply in replies)

    async def test_engine_that_broke_a_stream_off_is_avoided(self):
        """Its cache makes it the cheapest one, and it would break again."""
        async with deployment() as callers:
            await callers.stream()
            (engine,) = [one for one in callers.targets('model') if one.runs]
            engine.faults.break_after = 2
            assert events(await callers.stream()) == list(ALL_EVENTS)
            ran = [
                one.runs.count('attempt-2') for one in callers.targets('model')
            ]
            assert ran == [1, 1]

    async def test_stream_that_may_not_be_resumed_breaks(self):
        """Its connection is aborted, so that it does not look complete."""
        async with deployment() as callers:
            callers.set_faults('model', break_after=2)
            with pytest.raises(HttpCallError):
                await callers.stream('/reply/x', '')
            assert len(callers.runs('model')) == 1

    @pytest.mark.parametrize('silent_after', [0, 1, 3])
    async def test_stream_of_engines_that_fall_silent_is_whole(
        self, silent_after
    ):
        """Incident LOST: it was given up, and cut in the next silence."""
        async with deployment() as callers:
            callers.set_faults('model', silent_after=silent_after)
            reply = await callers.stream()
            assert events(reply) == list(ALL_EVENTS)
            assert len(callers.runs('model')) == 1

    @pytest.mark.parametrize('gateway', [0, 1])
    @pytest.mark.parametrize(
        ('silence_ms', 'other_ms'), [(2200, 1), (1800, 1000)]
    )
    async def test_what_was_made_for_another_engine_is_freed(
        self, gateway, silence_ms, other_ms
    ):
        """Whichever engine goes on, wherever the request is scheduled."""
        async with deployment() as callers:
            await callers.stream(gateway=gateway)
            for engine in callers.targets('model'):
                if engine.runs:
                    engine.faults.silent_after = 2
                    engine.faults.silence_ms = silence_ms
                else:
                    engine.plan = dataclasses.replace(
                        engine.plan, work_ms=other_ms
                    )
            reply = await callers.stream(gateway=gateway)
            assert events(reply) == list(ALL_EVENTS)
            assert callers.runs('model').count('attempt-2') == 2
            await wait_until(lambda: not callers.running.results)
            gateways = [one.gateway for one in callers.running.gateways]
            await wait_until(
                lambda: (
                    not any(one.service.scheduler.chains for one in gateways)
                )
            )

    async def test_caller_resumes_after_an_event(self):
        """The engine gets the id of the last event that the caller received."""
        async with deployment() as callers:
            reply = await callers.stream(last_event_id='3')
            assert events(reply) == [4, 5]

    async def test_piece_call_that_fails_is_run_elsewhere(self):
        """Requests are served although calls with their pieces fail."""
        async with deployment() as callers:
            callers.targets('planner')[0].faults.reset = 2
            replies = [await callers.stream() for _ in range(3)]
            assert {reply.status for reply in replies} == {200}

    async def test_scheduler_that_stops_costs_no_request(self):
        """Requests are served although their scheduler is killed."""
        async with deployment() as callers:
            replies = asyncio.gather(*(callers.stream() for _ in range(3)))
            await asyncio.sleep(0)
            running = callers.running.gateways[1]
            running.task.cancel()
            assert {reply.status for reply in await replies} == {200}


class TestStopping:
    """Requests that are still open at the end of the drain."""

    @pytest.mark.parametrize(
        ('path', 'service', 'status'),
        [('/brief/x', 'planner', 503), ('/read/x', 'desk', 504)],
    )
    async def test_last_ones_are_refused(self, path, service, status):
        """Each one is refused, as not run if nothing was sent."""
        async with deployment(1) as callers:
            document = build_document(2)
            for route in document['routes']:
                route['timeoutMs'] = 9000
            callers.running.configure(document)
            await wait_until(
                lambda: callers.state(0).configuration.version == 2
            )
            callers.set_faults(service, silent=True)
            send = callers.stream if 'brief' in path else callers.call
            waiting = asyncio.ensure_future(send(path, x_deadline_ms='9000'))
            (running,) = callers.running.gateways
            await wait_until(lambda: running.gateway.relay.open_requests)
            running.stop.set()
            reply = await waiting
            assert reply.status == status

    async def test_requests_of_lost_entries_are_waited_for(self):
        """A scheduler ends though nobody will tell of their ends."""
        async with deployment(1, grace_ms=60_000) as callers:
            (running,) = callers.running.gateways
            service = running.gateway.service
            now_ms = running.gateway.dependencies.clock.steady_ms()
            spec = ChainSpec(
                chain_id='lost',
                piece_key='',
                stages=(),
                engine_service='model',
                prompt=Prompt('m', (), 1, 1),
                priority=0,
                soft_deadline_at_ms=now_ms,
                deadline_at_ms=now_ms + 15_000,
                received_at_ms=now_ms,
            )
            assert isinstance(await service.place(spec, frozenset()), Grant)
            running.stop.set()
            await running.task
            assert service.scheduler.chains


class TestSchedulers:
    """Schedulers that stop, fail or lose a peer stream."""

    def scheduler_number(self, callers):
        """Returns the number of the gateway that schedules requests."""
        gateways = [running.gateway for running in callers.running.gateways]
        (number,) = [
            number
            for number, gateway in enumerate(gateways)
            if gateway.service.scheduler.chains
        ]
        return number

    async def statuses(self, replies):
        """Waits for all replies and returns their statuses."""
        return {reply.status for reply in await asyncio.gather(*replies)}

    def finished_pieces(self, callers):
        """Returns all pieces that targets have run."""
        return [
            piece
            for target in callers.targets('planner')
            for piece in target.pieces
        ]

    async def start_requests(self, callers, work_ms=60, pieces=8):
        """Sends prompts and waits until some of their pieces have run.

        Calls are declared longer than they take: the pieces of an overdue call
        run twice, and a pause of this process must not make a call overdue.

        Returns:
            The pending replies in the order of the attempts, and the number of
            the scheduler.
        """
        document = build_document(2)
        (planner,) = (
            service
            for service in document['services']
            if service['name'] == 'planner'
        )
        planner['pieces']['callMs'] = 500
        callers.running.configure(document)
        await wait_until(
            lambda: all(
                callers.state(number).configuration.version == 2
                for number in range(2)
            )
        )
        replies = [
            asyncio.ensure_future(callers.stream(gateway=number))
            for number in (0, 1, 0, 1)
        ]
        for target in callers.targets('planner'):
            target.plan = dataclasses.replace(target.plan, work_ms=work_ms)
        await wait_until(lambda: len(self.finished_pieces(callers)) >= pieces)
        return replies, self.scheduler_number(callers)

    async def test_stopping_scheduler_hands_over_what_was_made(self):
        """A planned hand-over reruns no piece and loses no request."""
        async with deployment() as callers:
            replies, scheduler_number = await self.start_requests(callers)
            callers.running.gateways[scheduler_number].stop.set()
            assert await self.statuses(replies) == {200}
            pieces = self.finished_pieces(callers)
            assert len(pieces) == len(set(pieces))

    async def test_stream_to_the_scheduler_that_breaks_costs_nothing(self):
        """The entry retries at the scheduler, which has kept the requests."""
        async with deployment() as callers:
            replies, scheduler_number = await self.start_requests(callers)
            gateways = callers.running.gateways
            requester = gateways[1 - scheduler_number].gateway
            requester.link._drop(
                gateways[scheduler_number].gateway.settings.instance_id
            )
            assert await self.statuses(replies) == {200}
            pieces = self.finished_pieces(callers)
            assert len(pieces) == len(set(pieces))
            assert not requester.service.scheduler.chains

    async def test_late_message_of_a_relay_cuts_no_caller(self):
        """Incident LOST: the scheduler's own caller got nothing."""
        async with deployment() as callers:
            replies, scheduler_number = await self.start_requests(
                callers, work_ms=400, pieces=1
            )
            gateways = [one.gateway for one in callers.running.gateways]
            scheduler = gateways[scheduler_number]
            relay = gateways[1 - scheduler_number].scheduler
            await wait_until(
                lambda: len(scheduler.service.scheduler.chains) == 4
            )
            late = [
                asyncio.ensure_future(
                    relay._place_at_peer(
                        scheduler.settings.instance_id, chain.spec, frozenset()
                    )
                )
                for chain in scheduler.service.scheduler.chains.values()
            ]
            assert len(late) == 4
            assert await self.statuses(replies) == {200}
            await asyncio.gather(*late)
            assert len(callers.runs('model')) == 4

    async def test_what_a_dead_scheduler_had_made_is_used(self, monkeypatch):
        """Requests of the surviving entry reuse results of a dead scheduler."""
        async with deployment() as callers:
            replies, scheduler_number = await self.start_requests(
                callers, pieces=1
            )
            killed = callers.running.gateways[scheduler_number]
            survivor = callers.running.gateways[1 - scheduler_number]
            survivors = replies[1 - scheduler_number :: 2]
            tracker = survivor.gateway.scheduler._results
            # Attempts are numbered from 1 and alternate between the gateways.
            numbers = range(2 - scheduler_number, 5, 2)
            attempts = [f'attempt-{number}' for number in numbers]
            await wait_until(
                lambda: all(
                    len(tracker.results_of(attempt)) >= 2
                    for attempt in attempts
                )
            )
            # A cancelled gateway, unlike a killed process, would go on to plan
            # until its parts have ended.
            scheduler = killed.gateway.service.scheduler
            monkeypatch.setattr(scheduler, 'plan', lambda _: Plan())
            killed.task.cancel()
            assert await self.statuses(survivors) == {200}
            await asyncio.gather(*replies, return_exceptions=True)
            firsts = tuple(f'{attempt}/0/' for attempt in attempts)
            finished_pieces = [
                piece
                for piece in self.finished_pieces(callers)
                if piece.startswith(firsts)
            ]
            assert len(finished_pieces) == len(set(finished_pieces)) == 4


class TestConfiguration:
    """Changes of the configuration and of the target directory."""

    def unanswered_read_waits_ms(self, running):
        """Returns the wait times of configuration reads without a result."""
        return [
            wait_ms
            for topic, wait_ms in running.store.withheld_reads
            if topic == 'keyed.op'
        ]

    async def test_change_is_in_force_at_all(self):
        """At all entries a removed route is refused and a new one served."""
        async with deployment() as callers:
            document = build_document(2)
            document['routes'][0]['pathPrefix'] = '/moved/'
            callers.running.configure(document)
            await wait_until(
                lambda: all(
                    running.gateway.state.configuration.version == 2
                    for running in callers.running.gateways
                ),
            )
            for gateway in range(2):
                old = await callers.call('/read/a', gateway=gateway)
                new = await callers.call('/moved/a', gateway=gateway)
                assert (old.status, new.status) == (404, 200)

    @pytest.mark.parametrize(
        'change',
        ['route dropped', 'service dropped', 'groups joined', 'route moved'],
    )
    @pytest.mark.parametrize('path', ['/brief/x', '/read/x', '/reply/x'])
    async def test_requests_under_way_get_an_answer(self, change, path):
        """None is cut, at the scheduler or elsewhere."""
        async with deployment() as callers:
            for target in callers.running.targets.values():
                target.plan = dataclasses.replace(target.plan, work_ms=300)
            callers.set_faults('model', silent_after=1, silence_ms=500)
            send = callers.call if path == '/read/x' else callers.stream
            waiting = [
                asyncio.ensure_future(send(path, gateway=number % 2))
                for number in range(6)
            ]
            for version in range(2, 5):
                await asyncio.sleep(0.1)
                callers.running.configure(changed_document(version, change))
            replies = await asyncio.gather(*waiting)
            assert {reply.status for reply in replies} <= {200, 503}
            for reply in replies:
                if reply.status == 200 and path != '/read/x':
                    assert events(reply) == list(ALL_EVENTS)

    async def test_reads_that_hear_nothing_end_soon(self):
        """A change takes effect in time although a waiting read misses it."""
        async with deployment(1) as callers:
            (running,) = callers.running.gateways
            running.store.faults.withhold_records = True
            # Ends the waiting reads; those that follow miss all changes.
            callers.running.configure(build_document(2))
            await wait_until(lambda: self.unanswered_read_waits_ms(running))
            callers.running.configure(build_document(3))
            state = running.gateway.state
            await wait_until(lambda: state.configuration.version == 3)
            # The users' sites allow two seconds, which include the read.
            assert max(self.unanswered_read_waits_ms(running)) < 1500

    async def test_peers_carry_what_the_store_refuses(self):
        """An entry that the store refuses gets changes from its peer."""
        async with deployment() as callers:
            refused, served = callers.running.gateways
            refused.store.faults.down = True
            callers.running.configure(build_document(7))
            callers.running.targets['desk-0'].announce('draining')
            roster = refused.gateway.state.roster
            await wait_until(
                lambda: refused.gateway.state.configuration.version == 7,
            )
            await wait_until(lambda: len(roster.ready('desk')) == 1)
            assert served.gateway.state.configuration.version == 7

    async def test_start_while_the_store_is_away(self):
        """Peers that connect to a new entry send it the state it needs."""
        async with deployment() as callers:
            await callers.running.restart(1, store_down=True)
            await wait_until(callers.running.gateways[1].gateway.is_ready)
            reply = await callers.call('/read/a', gateway=1)
            assert reply.status == 200

    async def test_entries_are_counted_while_the_store_is_away(self):
        """Retry budgets are divided by all entries, also by silent ones."""
        async with deployment(3) as callers:
            await callers.running.gateways[2].kill()
            await callers.running.restart(0, store_down=True)
            sync = callers.running.gateways[0].gateway.sync
            await wait_until(lambda: sync.count_entries() == 3)

    async def test_forgotten_history_is_read_anew(self):
        """Targets that left in a truncated part of the history are removed."""
        async with deployment(1) as callers:
            callers.running.targets['desk-0'].withdraw()
            for topic in ('keyed.op', 'keyed.servers'):
                callers.running.store.truncate_history(topic)
            state = callers.state(0)
            await wait_until(lambda: len(state.roster.ready('desk')) == 1)

    async def test_broken_records_name_no_target(self):
        """Malformed records are skipped and leave the others in force."""
        async with deployment(1) as callers:
            store = callers.running.store
            store.append('keyed.servers', b'\x05junk1not json')
            store.put('keyed.servers', 'junk2', {'service': 'desk'})
            store.put('keyed.servers', 'junk3', {'service': 5, 'state': 'up'})
            end = store.end('keyed.servers')
            state = callers.state(0)
            await wait_until(lambda: state.roster.offset >= end)
            assert len(state.roster.ready('desk')) == 2


class TestAddresses:
    """Discovery of the entries by callers."""

    async def listed_addresses(self, callers, gateway=0):
        """Returns the addresses that an entry lists."""
        address = callers.running.gateways[gateway].gateway.settings
        call = HttpCall(address.directory_address, 'GET', '/resolve?name=x')
        reply = await callers.client.request(call)
        return json.loads(reply.body)['addresses']

    async def wait_until_listed(self, callers, addresses):
        """Waits until an entry lists exactly these addresses."""
        async for _ in poll_periodically():
            if await self.listed_addresses(callers) == addresses:
                return

    async def test_all_entries_are_named(self):
        """An entry lists itself and its peers."""
        async with deployment() as callers:
            expected = sorted(
                running.address for running in callers.running.gateways
            )
            await self.wait_until_listed(callers, expected)

    async def test_stopping_entry_is_left_out_and_still_answers(self):
        """Peers no longer list a stopping entry, which still serves requests.

        Its responses close their connections.
        """
        async with deployment() as callers:
            stopping = callers.running.gateways[1]
            stopping.stop.set()
            others = [callers.running.gateways[0].address]
            await self.wait_until_listed(callers, others)
            assert not stopping.gateway.is_ready()
            reply = await callers.call('/read/a', gateway=1)
            assert reply.status == 200
            assert reply.headers['connection'] == 'close'
            await stopping.task
