"""Tests of retries, ejection, quarantine, queueing, admission and costs."""

from borageyard.admission import (
    MIN_RETRY_AFTER_MS,
    RETRY_AFTER_FACTOR,
    Backlog,
    StageEstimate,
    decide_admission,
    estimate_wait_ms,
)
from borageyard.backing_services import ROLE_TARGET, Instance
from borageyard.configuration import Organisation
from borageyard.costs import CostAccounts, CostKey, StageCost, WasteReason
from borageyard.ejection import OutlierDetector
from borageyard.fair_queue import FairQueue, QueuedCall
from borageyard.latency import RecentQuantiles
from borageyard.quarantine import CrashQuarantine, QuarantineStatus
from borageyard.retries import RetryBudgets
from borageyard.target_client import FailureKind
from borageyard.targets import TargetState


def build_targets(count):
    """Returns the states of targets of one service."""
    return [
        TargetState(Instance(f't{index}', ROLE_TARGET, '', 'a', 'llm'))
        for index in range(count)
    ]


class TestRetries:
    """Retries and hedges stay within a share of first attempts."""

    def test_share_of_first_attempts(self):
        """If every attempt fails, about a tenth of them is retried."""
        budgets = RetryBudgets()
        granted = 0
        for _ in range(1000):
            budgets.note_first_attempt('llm')
            granted += budgets.take_retry('llm')
        assert granted <= 102
        assert granted >= 99

    def test_hedges_use_the_same_budget(self):
        """Hedges and retries together stay within the share."""
        budgets = RetryBudgets()
        granted = 0
        for _ in range(1000):
            budgets.note_first_attempt('llm')
            granted += budgets.take_hedge('llm')
            granted += budgets.take_retry('llm')
        assert granted <= 102


class TestEjection:
    """Outliers are ejected, up to a share of the targets."""

    def test_unreachable_target_is_ejected_and_probed(self):
        """It is ejected for a time, then gets one call as a probe."""
        targets = build_targets(4)
        outliers = OutlierDetector()
        outliers.note_failure(targets[0], FailureKind.CONNECT, 0)
        assert targets[0] not in outliers.filter_healthy(targets, 10)
        assert targets[0] in outliers.filter_healthy(targets, 2000)
        targets[0].in_flight = 1
        assert targets[0] not in outliers.filter_healthy(targets, 2000)

    def test_failed_probe_ejects_for_longer(self):
        """A failed probe doubles the ejection time."""
        targets = build_targets(4)
        outliers = OutlierDetector()
        outliers.note_failure(targets[0], FailureKind.CONNECT, 0)
        outliers.note_failure(targets[0], FailureKind.TIMEOUT, 2000)
        assert outliers.is_ejected('t0', 3900)
        assert not outliers.is_ejected('t0', 4100)

    def test_share_is_capped(self):
        """If all targets fail, half of them may still be chosen."""
        targets = build_targets(4)
        outliers = OutlierDetector()
        for target in targets:
            outliers.note_failure(target, FailureKind.CONNECT, 0)
        assert len(outliers.filter_healthy(targets, 10)) == 2

    def test_ejected_is_better_than_none(self):
        """The only target of a service may be chosen though it is ejected."""
        targets = build_targets(1)
        outliers = OutlierDetector()
        outliers.note_failure(targets[0], FailureKind.CONNECT, 0)
        assert outliers.filter_healthy(targets, 10) == targets

    def test_slow_target_is_ejected(self):
        """A target with five times the duration of the others is ejected."""
        targets = build_targets(3)
        for _ in range(10):
            for target in targets:
                target.note_duration(500 if target is targets[0] else 100)
        outliers = OutlierDetector()
        assert outliers.note_success(targets[0], targets, 0)
        assert not outliers.note_success(targets[1], targets, 0)


class TestQuarantine:
    """Only a crash in isolation quarantines a request."""

    def test_second_crash_quarantines(self):
        """The first crash makes a suspect, one in isolation quarantines it.

        The quarantine ends when its record expires.
        """
        quarantine = CrashQuarantine()
        quarantine.note_crash('d', 0, isolated=False)
        assert quarantine.status('d', 1) is QuarantineStatus.SUSPECT
        quarantine.note_crash('d', 2, isolated=True)
        assert quarantine.status('d', 3) is QuarantineStatus.QUARANTINED
        assert quarantine.status('d', 400_000) is QuarantineStatus.CLEAR

    def test_innocent_is_not_quarantined(self):
        """Crashes beside other requests never add up to a quarantine."""
        quarantine = CrashQuarantine()
        for now_ms in range(5):
            quarantine.note_crash('d', now_ms, isolated=False)
        assert quarantine.status('d', 9) is QuarantineStatus.SUSPECT
        quarantine.note_finished('d')
        assert quarantine.status('d', 9) is QuarantineStatus.CLEAR


class TestFairQueue:
    """Weighted fair shares, least slack first within each."""

    def test_weights(self):
        """A flood from one organisation does not delay another."""
        queue = FairQueue()
        for index in range(100):
            queue.push(QueuedCall('big', 1, index, f'big{index}'))
        for index in range(10):
            queue.push(QueuedCall('small', 2, 1000, f'small{index}'))
        first = [queue.pop().organisation for _ in range(15)]
        assert first.count('small') == 10

    def test_least_slack_first(self):
        """Calls of an organisation are served by their latest start."""
        queue = FairQueue()
        for latest_ms in (30, 10, 20):
            queue.push(QueuedCall('org', 1, latest_ms, latest_ms))
        assert [queue.pop().waiter for _ in range(3)] == [10, 20, 30]

    def test_put_back_keeps_the_turn(self):
        """A call that could not start is the next one served."""
        queue = FairQueue()
        queue.push(QueuedCall('a', 1, 1, 'a1'))
        queue.push(QueuedCall('b', 1, 1, 'b1'))
        ticket = queue.pop()
        queue.put_back(ticket)
        assert queue.pop() is ticket
        assert len(queue) == 1


class TestAdmission:
    """Requests that can't finish in time are refused before they run."""

    def test_refuses_what_cannot_finish(self):
        """The refusal states when to retry."""
        needs = [StageEstimate(100), StageEstimate(500, wait_ms=700)]
        decision = decide_admission(1000, needs)
        assert not decision.admitted
        assert decision.retry_after_ms == 300 * RETRY_AFTER_FACTOR
        assert decide_admission(1300, needs).admitted

    def test_comes_back_not_at_once(self):
        """A request that is 1 ms short is not retried after a millisecond."""
        decision = decide_admission(99, [StageEstimate(100)])
        assert decision.retry_after_ms == MIN_RETRY_AFTER_MS

    def test_wait_for_slots(self):
        """There is no wait while a slot is free."""
        assert estimate_wait_ms(3, 4, 100) == 0
        assert estimate_wait_ms(8, 4, 100) == 125

    def test_flood_does_not_lengthen_the_wait_of_others(self):
        """Only a fair share of a flood starts before a new organisation."""
        names = ('flood', 'small')
        organisations = {
            name: Organisation(name, 1, 1, 1, '') for name in names
        }
        backlog = Backlog()
        backlog.add('llm', organisations['flood'], 500)
        assert backlog.count_ahead('llm', organisations['small']) == 1
        assert backlog.count_ahead('llm', organisations['flood']) == 500


class TestQuantiles:
    """Quantiles follow the recent samples."""

    def test_default_before_samples(self):
        """With too few samples the default is returned."""
        quantiles = RecentQuantiles()
        quantiles.add(5)
        assert quantiles.quantile_ms(0.5, 100) == 100

    def test_quantiles(self):
        """Only the most recent samples count."""
        quantiles = RecentQuantiles()
        for sample_ms in range(164):
            quantiles.add(sample_ms)
        assert quantiles.quantile_ms(0.5, 0) == 132


class TestCosts:
    """Useful and wasted work are accounted for separately."""

    def test_books_by_use(self):
        """Stages of a refused request and of a hedge count as wasted."""
        key = CostKey('org', 'pipe', 'stage')
        costs = CostAccounts()
        costs.record_stages([(key, StageCost(10, 4, 2))], useful=True)
        costs.record_stages([(key, StageCost(30, 4))], useful=False)
        costs.note_wasted(key, StageCost(5), WasteReason.HEDGE)
        account = costs.accounts[key]
        assert account.duration_ms == 10
        assert account.wasted_ms == {
            WasteReason.EXPIRED: 30,
            WasteReason.HEDGE: 5,
        }
