"""Reports of experiments and the bounds on their figures."""

import dataclasses
from collections.abc import Mapping
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """A bound on a figure, taken from a stated requirement."""

    figure: str
    limit: float
    at_most: bool = True

    def is_met(self, figures: Mapping[str, Any]) -> bool:
        """Returns whether the figure was measured and is within the bound."""
        measured = figures.get(self.figure)
        if measured is None:
            return False
        if self.at_most:
            return bool(measured <= self.limit)
        return bool(measured >= self.limit)


@dataclasses.dataclass(frozen=True, slots=True)
class BenchReport:
    """Figures that an experiment measured, with their bounds."""

    name: str
    seed: int
    figures: Mapping[str, Any]
    bounds: tuple[Bound, ...] = ()

    @property
    def missed(self) -> tuple[str, ...]:
        """Returns the figures whose bounds are not met."""
        return tuple(
            bound.figure
            for bound in self.bounds
            if not bound.is_met(self.figures)
        )

    def summary(self) -> dict[str, Any]:
        """Returns the report as a dictionary that JSON can represent."""
        return {
            'name': self.name,
            'seed': self.seed,
            'figures': dict(self.figures),
            'bounds': [dataclasses.asdict(bound) for bound in self.bounds],
            'missed': list(self.missed),
        }
