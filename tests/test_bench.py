"""Tests of reports of experiments."""

from borageyard.bench.command import print_report
from borageyard.bench.report import BenchReport, Bound


class TestBounds:
    """A missed bound is reported, also if its figure was not measured."""

    def test_missed_bound_fails(self, capsys):
        """A figure above its bound gives exit code 1."""
        report = BenchReport('x', 1, {'ms': 5}, (Bound('ms', 4),))
        assert print_report(report, json_only=True) == 1
        assert '"missed": ["ms"]' in capsys.readouterr().out

    def test_missing_figure_fails(self):
        """A figure that was not measured does not meet its bound."""
        report = BenchReport('x', 1, {}, (Bound('ms', 4),))
        assert report.missed == ('ms',)

    def test_met_bounds_pass(self):
        """Figures within an upper and a lower bound are not reported."""
        bounds = (Bound('ms', 4), Bound('share', 0.9, at_most=False))
        report = BenchReport('x', 1, {'ms': 3, 'share': 0.95}, bounds)
        assert not report.missed
