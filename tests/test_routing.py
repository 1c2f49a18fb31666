"""Tests of routing and of the load estimate of targets."""

from borageyard.affinity import PrefixAffinity
from borageyard.backing_services import ROLE_TARGET, Instance
from borageyard.routing import PredictedFinishRouter, RouteQuery
from borageyard.target_client import LoadReport
from borageyard.targets import TargetDirectory

NOW_MS = 10_000


def build_directory(count=3, domain='a'):
    """Returns a directory of idle targets with reports."""
    directory = TargetDirectory()
    directory.update(
        Instance(f't{index}', ROLE_TARGET, '', domain, 'llm')
        for index in range(count)
    )
    for index in range(count):
        directory.note_report(report(f't{index}'), NOW_MS)
    return directory


def report(name, running=0, versions=()):
    """Returns a load report."""
    return LoadReport(name, 0, running, 0, 8, models={'m': tuple(versions)})


def choose(directory, affinity=None, **query):
    """Returns the id of the chosen target, or ``None`` without a route."""
    router = PredictedFinishRouter('a', affinity or PrefixAffinity(), 1)
    fields = {'now_ms': NOW_MS, 'typical_ms': 100, **query}
    route = router.choose(directory.candidates('llm'), RouteQuery(**fields))
    return route.target.target_id if route else None


class TestRouting:
    """The target with the earliest predicted finish is chosen."""

    def test_avoids_reported_load(self):
        """The idle target is chosen over those that report load."""
        directory = build_directory()
        directory.note_report(report('t0', running=6), NOW_MS)
        directory.note_report(report('t1', running=6), NOW_MS)
        assert choose(directory) == 't2'

    def test_avoids_slow_target(self):
        """A target with a longer average duration is not chosen."""
        directory = build_directory(2)
        first, second = directory.candidates('llm')
        first.note_duration(500)
        second.note_duration(100)
        assert choose(directory) == 't1'

    def test_cache_outweighs_some_load(self):
        """A cached prefix lowers the predicted time of its target."""
        directory = build_directory()
        affinity = PrefixAffinity()
        affinity.note_answer('t1', 'walk', 2000, NOW_MS)
        assert choose(directory, affinity, cache_prefix='walk') == 't1'

    def test_old_cache_is_discounted(self):
        """A prefix seen long ago saves hardly any predicted time."""
        affinity = PrefixAffinity()
        affinity.note_answer('t1', 'walk', 2000, NOW_MS)
        fresh_ms = affinity.saved_ms('t1', 'walk', NOW_MS)
        old_ms = affinity.saved_ms('t1', 'walk', NOW_MS + 300_000)
        assert old_ms < fresh_ms / 10

    def test_prefers_own_domain(self):
        """All else equal, a target in the own failure domain is chosen."""
        directory = build_directory(2)
        first = directory.candidates('llm')[0]
        first.instance = Instance('t0', ROLE_TARGET, '', 'b', 'llm')
        assert choose(directory) == 't1'

    def test_prefers_loaded_version(self):
        """A target with the required version loaded is preferred.

        Without one, targets that report no versions are still used.
        """
        directory = build_directory()
        directory.note_report(report('t2', versions=('7',)), NOW_MS)
        assert choose(directory, model='m', model_version='7') == 't2'
        assert choose(directory, model='m', model_version='8') is not None

    def test_leaving_target_is_no_candidate(self):
        """A leaving mark excludes a target until its next incarnation."""
        directory = build_directory(2)
        directory.mark_leaving('t0')
        names = [state.target_id for state in directory.candidates('llm')]
        assert names == ['t1']
        directory.update(
            [
                Instance('t0', ROLE_TARGET, '', 'a', 'llm', incarnation=1),
                Instance('t1', ROLE_TARGET, '', 'a', 'llm'),
            ]
        )
        assert len(directory.candidates('llm')) == 2

    def test_empty_list_keeps_all_targets(self):
        """An instance list without rows does not remove the known targets."""
        directory = build_directory(2)
        directory.update(())
        assert len(directory.candidates('llm')) == 2

    def test_never_another_version(self):
        """Targets that report only other versions are not used."""
        directory = build_directory()
        for state in directory.all_targets():
            versioned_report = report(state.target_id, versions=('7',))
            directory.note_report(versioned_report, NOW_MS)
        assert choose(directory, model='m', model_version='8') is None
        assert choose(directory, model='m', model_version='7') is not None

    def test_full_targets_have_no_room(self):
        """There is no route if no target has a free slot."""
        directory = build_directory(1)
        directory.note_report(report('t0', running=8), NOW_MS)
        state = directory.candidates('llm')[0]
        state.in_flight = 2
        assert choose(directory, entries=4) is None

    def test_equal_part_is_always_open(self):
        """The estimated load of other entries locks no entry out."""
        directory = build_directory(1)
        directory.note_report(report('t0', running=30), NOW_MS)
        assert choose(directory, entries=4) == 't0'


class TestLoadEstimate:
    """Reports, own calls and peers' news add up without double counting."""

    def test_own_calls_are_not_counted_twice(self):
        """Own calls that a report includes are not added to it again."""
        state = build_directory(1).candidates('llm')[0]
        state.change_in_flight(1, NOW_MS - 50)
        state.note_report(report('t0', running=3), NOW_MS)
        assert round(state.load(NOW_MS)) == 3

    def test_own_calls_since_a_late_report_count(self):
        """Calls sent after the time of the report are added to it."""
        state = build_directory(1).candidates('llm')[0]
        state.change_in_flight(1, NOW_MS)
        state.change_in_flight(1, NOW_MS)
        state.note_report(report('t0', running=3), NOW_MS - 100)
        assert round(state.load(NOW_MS)) == 5

    def test_stale_report_fades(self):
        """An old report has hardly any weight."""
        state = build_directory(1).candidates('llm')[0]
        state.note_report(report('t0', running=8), NOW_MS - 20_000)
        assert state.load(NOW_MS) < 1

    def test_peers_replace_stale_reports(self):
        """News from peers outweigh a report that arrives late."""
        directory = build_directory(1)
        directory.note_report(report('t0', running=8), NOW_MS, age_ms=5000)
        directory.note_peer('p', {'t0': 2}, NOW_MS)
        state = directory.candidates('llm')[0]
        assert 1 < state.load(NOW_MS) < 3
