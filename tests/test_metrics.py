"""Tests of metrics and of the event loop lag."""

import asyncio

import pytest

from borageyard.errors import ErrorKind, Refusal, RunStatus
from borageyard.loop_lag import LoopLagMonitor
from borageyard.metrics import EntryMetrics
from borageyard.requests import Answer, PipelineRequest, StageResult


def build_request(pipeline):
    """Returns a request of an organisation."""
    return PipelineRequest('r', pipeline, 'dispatch', {}, 0)


def build_answer(pipeline):
    """Returns an answer with one stage."""
    stage = StageResult('encode', 'encoder-0', {}, 12, tokens=3)
    return Answer('r', pipeline, 1, {}, (stage,))


class TestEntryMetrics:
    """Metrics of an entry."""

    def test_outcomes_and_refusals(self):
        """Answers and refusals appear in the exposition by kind."""
        metrics = EntryMetrics()
        request = build_request('booking')
        metrics.count_outcome(request, build_answer('booking'))
        unknown = Refusal(ErrorKind.OUTCOME_UNKNOWN, ran=RunStatus.UNKNOWN)
        metrics.count_outcome(request, unknown)
        text = metrics.exposition().decode()
        assert 'borageyard_refusals_total{' in text
        assert 'kind="outcome_unknown",not_run="unknown"} 1' in text
        assert 'outcome="answer"' in text
        assert 'borageyard_stage_duration_ms_count{' in text

    def test_unknown_names_make_no_series(self):
        """Names that callers invent don't add series to the metrics."""
        metrics = EntryMetrics()
        for number in range(50):
            refusal = Refusal(ErrorKind.NOT_FOUND)
            metrics.count_outcome(build_request(f'made-up-{number}'), refusal)
        text = metrics.exposition().decode()
        assert 'made-up' not in text
        assert text.count('outcome="not_found"') == 1


class TestLoopLag:
    """Lag of the event loop."""

    @pytest.mark.looptime
    async def test_blocked_loop_shows(self, monkeypatch):
        """The reported lag is how late a probe ran."""
        sleep = asyncio.sleep

        async def sleep_late(delay_s):
            await sleep(delay_s + 0.05)

        monkeypatch.setattr(asyncio, 'sleep', sleep_late)
        lag = LoopLagMonitor()
        seen = []
        watching = asyncio.ensure_future(lag.run_probes(100, seen.append))
        await sleep(0.4)
        watching.cancel()
        assert seen == pytest.approx([50, 50])
        assert lag.worst_ms == pytest.approx(50)

    def test_old_probes_are_forgotten(self):
        """Probes older than the window are dropped."""
        lag = LoopLagMonitor(window=2)
        for lag_ms in (90, 1, 2):
            lag.record_lag(lag_ms)
        assert lag.worst_ms == pytest.approx(2)
