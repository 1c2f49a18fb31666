"""Tests of the choice of a target."""

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
    """Returns the chosen target's id."""
    router = PredictedFinishRouter('a', affinity or PrefixAffinity(), 1)
    fields = {'now_ms': NOW_MS, 'typical_ms': 100, **query}
    route = router.choose(directory.candidates('llm'), RouteQuery(**fields))
    return route.target.target_id if route else None


class TestRouting:
    """Predicted finish time decides."""

    def test_avoids_reported_load(self):
        """The idle target is chosen."""
        directory = build_directory()
        directory.note_report(report('t0', running=6), NOW_MS)
        directory.note_report(report('t1', running=6), NOW_MS)
        assert choose(directory) == 't2'

    def test_avoids_slow_target(self):
        """A target with a long learned time gets less."""
        directory = build_directory(2)
        first, second = directory.candidates('llm')
        first.note_duration(500)
        second.note_duration(100)
        assert choose(directory) == 't1'

    def test_cache_outweighs_some_load(self):
        """A cached prefix is a term of the same cost."""
        directory = build_directory()
        affinity = PrefixAffinity()
        affinity.note_answer('t1', 'walk', 2000, NOW_MS)
        assert choose(directory, affinity, cache_prefix='walk') == 't1'

    def test_old_cache_is_discounted(self):
        """A prefix seen long ago no longer decides."""
        affinity = PrefixAffinity()
        affinity.note_answer('t1', 'walk', 2000, NOW_MS)
        fresh_ms = affinity.saved_ms('t1', 'walk', NOW_MS)
        old_ms = affinity.saved_ms('t1', 'walk', NOW_MS + 300_000)
        assert old_ms < fresh_ms / 10

    def test_prefers_own_domain(self):
        """All else equal, the failure domain decides."""
        directory = build_directory(2)
        first = directory.candidates('llm')[0]
        first.instance = Instance('t0', ROLE_TARGET, '', 'b', 'llm')
        assert choose(directory) == 't1'

    def test_prefers_loaded_version(self):
        """A target with the needed model version goes first."""
        directory = build_directory()
        directory.note_report(report('t2', versions=('7',)), NOW_MS)
        assert choose(directory, model='m', model_version='7') == 't2'
        assert choose(directory, model='m', model_version='8') is not None

    def test_leaving_target_is_no_candidate(self):
        """A mark takes a target out until its next incarnation."""
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
        """A list that lost its rows does not empty the fleet."""
        directory = build_directory(2)
        directory.update(())
        assert len(directory.candidates('llm')) == 2

    def test_never_another_version(self):
        """Targets that tell of other versions only are not used."""
        directory = build_directory()
        for state in directory.all_targets():
            told = report(state.target_id, versions=('7',))
            directory.note_report(told, NOW_MS)
        assert choose(directory, model='m', model_version='8') is None
        assert choose(directory, model='m', model_version='7') is not None

    def test_full_targets_have_no_room(self):
        """When all windows are full there is no route."""
        directory = build_directory(1)
        directory.note_report(report('t0', running=8), NOW_MS)
        state = directory.candidates('llm')[0]
        state.in_flight = 2
        assert choose(directory, entries=4) is None

    def test_equal_part_is_always_open(self):
        """What others are believed to do locks no entry out."""
        directory = build_directory(1)
        directory.note_report(report('t0', running=30), NOW_MS)
        assert choose(directory, entries=4) == 't0'


class TestLoadEstimate:
    """Reports, own calls and peers' news add up without counting twice."""

    def test_own_calls_are_not_counted_twice(self):
        """A report that contains own calls tells only of others."""
        state = build_directory(1).candidates('llm')[0]
        state.change_in_flight(1, NOW_MS - 50)
        state.note_report(report('t0', running=3), NOW_MS)
        assert round(state.load(NOW_MS)) == 3

    def test_own_calls_since_a_late_report_count(self):
        """Calls sent after the report's time come on top of it."""
        state = build_directory(1).candidates('llm')[0]
        state.change_in_flight(1, NOW_MS)
        state.change_in_flight(1, NOW_MS)
        state.note_report(report('t0', running=3), NOW_MS - 100)
        assert round(state.load(NOW_MS)) == 5

    def test_stale_report_fades(self):
        """A report from long ago hardly counts."""
        state = build_directory(1).candidates('llm')[0]
        state.note_report(report('t0', running=8), NOW_MS - 20_000)
        assert state.load(NOW_MS) < 1

    def test_peers_replace_stale_reports(self):
        """With late reports the news of peers count."""
        directory = build_directory(1)
        directory.note_report(report('t0', running=8), NOW_MS, age_ms=5000)
        directory.note_peer('p', {'t0': 2}, NOW_MS)
        state = directory.candidates('llm')[0]
        assert 1 < state.load(NOW_MS) < 3
