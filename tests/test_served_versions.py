"""Tests of the versions of a service that the store lists."""

from borageyard.generated.stored_streams import ServedVersionRecord
from borageyard.served_versions import HISTORY_MS, ServedVersions

SERVICE = 'model'


def record(version, era=0, service=SERVICE):
    """Returns a record of the store."""
    return ServedVersionRecord(
        service=service, software_version=version, era=era
    )


def apply(served, present, era=0, now_ms=0):
    """Plans and confirms changes; returns versions written and removed."""
    changes = served.plan(present, era, now_ms)
    for written in changes.writes:
        served.note_written(written)
    for version in changes.removals:
        served.note_removed(version)
    versions = [one.software_version for one in changes.writes]
    return versions, list(changes.removals)


class TestServedVersions:
    """Which records a scheduler writes and removes."""

    def test_each_version_is_written_once(self):
        """Later plans change nothing while the same versions serve."""
        served = ServedVersions(SERVICE, [record('x', service='other')])
        assert apply(served, {'v1'}) == (['v1'], [])
        assert apply(served, {'v1'}) == ([], [])
        assert apply(served, {'v1', 'v2'}) == (['v2'], [])

    def test_unconfirmed_record_is_written_again(self):
        """A store that did not answer may not have it."""
        served = ServedVersions(SERVICE, [])
        for _ in range(2):
            (written,) = served.plan({'v1'}, 0, 0).writes
            assert written.software_version == 'v1'

    def test_version_is_removed_when_no_stream_can_be_of_it(self):
        """Also one whose last target left before the scheduler started."""
        served = ServedVersions(SERVICE, [record('v1'), record('v2')])
        assert apply(served, {'v2'}, now_ms=5) == ([], [])
        before_ms = HISTORY_MS + 4
        assert apply(served, {'v2'}, now_ms=before_ms) == ([], [])
        assert apply(served, {'v2'}, now_ms=before_ms + 1) == ([], ['v1'])

    def test_version_that_comes_back_stays(self):
        """The time since it was gone starts anew."""
        served = ServedVersions(SERVICE, [record('v1')])
        apply(served, {'v2'})
        apply(served, {'v1', 'v2'}, now_ms=HISTORY_MS - 1)
        late_ms = HISTORY_MS + 1
        assert apply(served, {'v2'}, now_ms=late_ms) == ([], [])

    def test_versions_are_written_again_after_a_restore(self):
        """A scheduler that outlived it has forgotten none."""
        served = ServedVersions(SERVICE, [])
        apply(served, {'v1'})
        apply(served, {'v2'})
        assert apply(served, {'v2'}, era=1) == (['v1', 'v2'], [])

    def test_new_scheduler_suspects_what_a_restore_has_lost(self):
        """Versions that the copy does not list may have served."""
        served = ServedVersions(SERVICE, [record('v1')])
        assert apply(served, {'v1'}, era=1) == (['?', 'v1'], [])

    def test_suspicion_outlasts_a_store_that_does_not_answer(self):
        """It is written before all else, and again until it is confirmed."""
        served = ServedVersions(SERVICE, [record('1'), record('v1')])
        for _ in range(2):
            changes = served.plan({'v1'}, 1, 0)
            written = [one.software_version for one in changes.writes]
            assert written == ['?', '1', 'v1']
        served.note_written(changes.writes[0])
        assert apply(served, {'v1'}, era=1) == (['1', 'v1'], [])
