"""Totals of a demo run."""

import dataclasses


@dataclasses.dataclass(slots=True)
class DemoTotals:
    """Outcomes that the callers saw and double runs that targets recorded."""

    requests: int = 0
    whole_answers: int = 0
    refused_not_run: int = 0
    refused_ran: int = 0
    unknown: int = 0
    double_runs: int = 0
    wrong_answers: int = 0

    @property
    def attainment(self) -> float:
        """Returns the share of requests with a complete answer in time."""
        return self.whole_answers / max(self.requests, 1)

    def add(self, other: 'DemoTotals') -> None:
        """Adds the counts of another deployment in place."""
        for name, count in dataclasses.asdict(other).items():
            setattr(self, name, getattr(self, name) + count)
