"""Tests of configuration, membership and permission across entries."""

import asyncio
import contextlib
import copy
import pathlib

import pytest

from borageyard.backing_services import MemoryLog
from borageyard.commands.demo import load_plan
from borageyard.configuration_changes import ChangeOutcome, EntryState
from borageyard.configuration_log import CONFIGURATION_STREAM
from borageyard.errors import ErrorKind
from borageyard.generated.http_configuration import ProposalBody
from borageyard.identifiers import new_identifier
from borageyard.requests import PipelineRequest
from borageyard.standins.memory_deployment import MemoryDeployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
PERMISSION_MS = 2000


@contextlib.asynccontextmanager
async def running(settle_s=2):
    """Runs four entries in memory for a time and yields the deployment."""
    plan = load_plan('hundaganga', EXAMPLES)
    async with MemoryDeployment(plan) as deployment:
        await asyncio.sleep(settle_s)
        yield deployment


def core_of(deployment, index):
    """Returns the core of an entry by its index."""
    return deployment.entries[f'entry-{index}'].core


def proposal(deployment, change_id, base_version=1, deadline_ms=8000):
    """Returns a proposal that changes the booking deadline."""
    document = copy.deepcopy(dict(deployment.plan.document))
    document['pipelines']['booking']['deadline_ms'] = deadline_ms
    return ProposalBody(
        change_id=change_id,
        base_version=base_version,
        author=f'author of {change_id}',
        document=document,
    )


def partition(deployment, indexes):
    """Partitions entries from the log and from the entries not named."""
    names = {f'entry-{index}' for index in indexes}
    for name in names:
        deployment.entries[name].log.is_unreachable = True
    for name in names:
        for other in deployment.entries.keys() - names:
            deployment.network.cut(name, other)
            deployment.network.cut(other, name)


def may_admit(core):
    """Returns whether an entry admits work now."""
    return core.permission.check() is None


@pytest.mark.looptime
class TestApply:
    """Propagation of a change to all entries."""

    async def test_is_accepted_everywhere(self):
        """A change is accepted once all entries have it in force."""
        async with running() as deployment:
            change = proposal(deployment, 'one')
            report = await core_of(deployment, 0).configuration.changes.apply(
                change
            )
            versions = {
                entry.core.fold.version for entry in deployment.entries.values()
            }
        assert report.outcome is ChangeOutcome.ACCEPTED
        assert versions == {2}
        assert {state for _, state in report.entries} == {EntryState.IN_FORCE}

    async def test_race_has_one_winner(self):
        """Of two concurrent changes at different entries one conflicts.

        The conflict names the winner's author and the differing paths.
        """
        async with running() as deployment:
            reports = await asyncio.gather(
                core_of(deployment, 0).configuration.changes.apply(
                    proposal(deployment, 'one', deadline_ms=8000),
                ),
                core_of(deployment, 1).configuration.changes.apply(
                    proposal(deployment, 'two', deadline_ms=7000),
                ),
            )
        outcomes = {report.outcome: report for report in reports}
        assert outcomes.keys() == {
            ChangeOutcome.ACCEPTED,
            ChangeOutcome.CONFLICT,
        }
        won = outcomes[ChangeOutcome.ACCEPTED]
        lost = outcomes[ChangeOutcome.CONFLICT]
        assert lost.author == won.author
        assert [row.path for row in lost.differences] == [
            '$.pipelines.booking.deadline_ms',
        ]

    async def test_lost_response_is_read_back(self):
        """A change whose append response was lost is still accepted."""
        async with running() as deployment:
            deployment.log.faults.lose_next_answers = 1
            change = proposal(deployment, 'one')
            report = await core_of(deployment, 0).configuration.changes.apply(
                change
            )
        assert report.outcome is ChangeOutcome.ACCEPTED

    async def test_lost_response_before_an_outage_is_unknown(self):
        """A change with unknown outcome can be queried by its id later."""
        async with running() as deployment:
            core = core_of(deployment, 0)
            deployment.log.faults.lose_next_answers = 1
            deployment.log.faults.outage_after_loss = True
            change = proposal(deployment, 'one')
            report = await core.configuration.changes.apply(change)
            deployment.log.faults.outage = False
            await asyncio.sleep(2)
            later = await core.configuration.changes.progress('one')
        assert report.outcome is ChangeOutcome.UNKNOWN
        assert later.outcome is ChangeOutcome.ACCEPTED

    async def test_request_keeps_its_version(self):
        """A request that runs during an apply completes under its version."""
        async with running() as deployment:
            core = core_of(deployment, 0)
            for target in deployment.targets.values():
                target.faults.slow_factor = 20
            request = PipelineRequest(
                request_id=new_identifier(),
                pipeline='route-summary',
                organisation='dispatch',
                body={'dog': 'Snati'},
                expires_at_ms=core.dependencies.clock.steady_ms() + 9000,
            )
            running_request = asyncio.ensure_future(core.run(request))
            await asyncio.sleep(0.1)
            change = proposal(deployment, 'one')
            report = await core.configuration.changes.apply(change)
            still_running = not running_request.done()
            outcome = await running_request
        assert still_running
        assert report.version == 2
        assert outcome.configuration_version == 1

    async def test_same_id_is_applied_once(self):
        """A change repeated with its id does not create a second version."""
        async with running() as deployment:
            changes = core_of(deployment, 0).configuration.changes
            await changes.apply(proposal(deployment, 'one'))
            again = await changes.apply(proposal(deployment, 'one'))
            version = core_of(deployment, 0).fold.version
        assert again.outcome is ChangeOutcome.ACCEPTED
        assert version == 2

    async def test_outage_refuses_change(self):
        """A change that the log refused is refused, as it had no effect."""
        async with running() as deployment:
            deployment.log.faults.outage = True
            change = proposal(deployment, 'one')
            report = await core_of(deployment, 0).configuration.changes.apply(
                change
            )
        assert report.outcome is ChangeOutcome.REFUSED

    async def test_dead_entry_delays_by_one_permission(self):
        """With a dead entry a change waits until its permission expires."""
        async with running() as deployment:
            await deployment.kill_entry('entry-3')
            started_s = asyncio.get_running_loop().time()
            change = proposal(deployment, 'one')
            report = await core_of(deployment, 0).configuration.changes.apply(
                change
            )
            passed_s = asyncio.get_running_loop().time() - started_s
        assert report.outcome is ChangeOutcome.ACCEPTED
        assert PERMISSION_MS / 1000 <= passed_s <= 3
        states = {state for _, state in report.entries}
        assert states == {EntryState.IN_FORCE, EntryState.LAPSED}


@pytest.mark.looptime
class TestPermission:
    """Serving permission during partitions and outages of the log."""

    async def test_outage_keeps_permission(self):
        """Entries that reach each other keep serving without the log."""
        async with running() as deployment:
            deployment.log.faults.outage = True
            await asyncio.sleep(10)
            permitted = [
                may_admit(entry.core) for entry in deployment.entries.values()
            ]
        assert all(permitted)

    async def test_partitioned_half_stops_before_acceptance(self):
        """A change is accepted only after the partitioned half has stopped."""
        async with running() as deployment:
            partition(deployment, (2, 3))
            change = proposal(deployment, 'one')
            report = await core_of(deployment, 0).configuration.changes.apply(
                change
            )
            permitted = [
                may_admit(core_of(deployment, index)) for index in range(4)
            ]
            refusal = core_of(deployment, 3).permission.check()
        assert report.outcome is ChangeOutcome.ACCEPTED
        assert permitted == [True, True, False, False]
        assert refusal.kind is ErrorKind.NO_PERMISSION

    async def test_partitioned_half_returns_with_the_new_version(self):
        """After a partition an entry never serves the old version again."""
        async with running() as deployment:
            partition(deployment, (2, 3))
            change = proposal(deployment, 'one')
            await core_of(deployment, 0).configuration.changes.apply(change)
            deployment.network.heal()
            seen = set()
            for _ in range(1000):
                await asyncio.sleep(0.001)
                core = core_of(deployment, 3)
                if may_admit(core):
                    seen.add(core.fold.version)
        assert seen == {2}

    async def test_start_in_outage_takes_state_from_peers(self):
        """A new entry serves during an outage with the state of its peers."""
        async with running() as deployment:
            deployment.log.faults.outage = True
            core = await deployment.start_entry(4)
            ready_at_start = may_admit(core)
            await asyncio.sleep(1)
            assert may_admit(core)
            version = core.fold.version
        assert not ready_at_start
        assert version == 1

    async def test_start_alone_in_outage_is_not_ready(self):
        """A new entry that reaches neither log nor peers admits no work."""
        async with running() as deployment:
            deployment.log.faults.outage = True
            for index in range(4):
                deployment.network.cut(f'entry-{index}', 'entry-4')
                deployment.network.cut('entry-4', f'entry-{index}')
            core = await deployment.start_entry(4)
            await asyncio.sleep(10)
            refusal = core.permission.check()
        assert refusal.kind is ErrorKind.NO_PERMISSION


@pytest.mark.looptime
class TestRetention:
    """Recovery after records expired."""

    async def test_checkpoint_carries_state_over_expiry(self):
        """A new entry recovers from a checkpoint if records have expired."""
        async with running() as deployment:
            core_of(deployment, 0).configuration.writer._retention_ms = 4000
            await core_of(deployment, 0).configuration.changes.apply(
                proposal(deployment, 'one'),
            )
            await asyncio.sleep(4)
            log: MemoryLog = deployment.log
            page = log.read_now(CONFIGURATION_STREAM, 0)
            first = next(
                row for row in page.records if row.body['type'] == 'checkpoint'
            )
            log.expire_before(CONFIGURATION_STREAM, first.offset)
            core = await deployment.start_entry(4)
            await asyncio.sleep(1)
            assert may_admit(core)
            version = core.fold.version
        assert version == 2

    async def test_gap_without_checkpoint_is_filled_by_a_peer(self):
        """Without a checkpoint a new entry gets the state from a peer."""
        async with running() as deployment:
            log: MemoryLog = deployment.log
            head = log.read_now(CONFIGURATION_STREAM, 0).head
            log.expire_before(CONFIGURATION_STREAM, head)
            core = await deployment.start_entry(4)
            await asyncio.sleep(2)
            assert may_admit(core)
            version = core.fold.version
        assert version == 1


@pytest.mark.looptime
class TestMembership:
    """Entries that join and leave."""

    async def test_entry_missing_from_the_list_leaves(self):
        """An entry long missing from the instance list is removed.

        The floor then rises to the new position.
        """
        async with running() as deployment:
            await deployment.kill_entry('entry-3')
            deployment.instances.rows = [
                row
                for row in deployment.instances.rows
                if row.instance_id != 'entry-3'
            ]
            await asyncio.sleep(10)
            state = core_of(deployment, 0).fold.state
            floor_is_up = state.floor == state.changed_at
        assert len(state.members) == 3
        assert floor_is_up

    async def test_forgotten_majority_does_not_block(self):
        """A dead majority blocks acceptance until an operator forgets it."""
        async with running() as deployment:
            core = core_of(deployment, 0)
            dead = [
                core_of(deployment, index).permission.member
                for index in (1, 2, 3)
            ]
            for index in (1, 2, 3):
                await deployment.kill_entry(f'entry-{index}')
            change = proposal(deployment, 'one')
            before = await core.configuration.changes.apply(change)
            for member in dead:
                await core.configuration.changes.forget(member)
            await asyncio.sleep(1)
            after = await core.configuration.changes.progress('one')
        assert before.outcome is ChangeOutcome.DECIDED
        assert after.outcome is ChangeOutcome.ACCEPTED

    async def test_graceful_stop_leaves_at_once(self):
        """An entry that stops removes itself from the membership."""
        async with running() as deployment:
            core = core_of(deployment, 3)
            await core.configuration.close()
            await asyncio.sleep(1)
            members = core_of(deployment, 0).fold.state.members
        assert core.permission.member not in members
        assert len(members) == 3
