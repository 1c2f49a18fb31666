"""Tests of the limits that settings state of a machine."""

import pytest

from borageyard.machine_capacity.machine_limits import (
    ColdBurst,
    MachineLimits,
    build_cold_burst,
    build_machine_limits,
)
from borageyard.platform.settings import _Limits


class TestMachineLimits:
    """A process starts whatever its settings state of its machine."""

    def test_units(self):
        """Cores are multiplied by their speed; bandwidth is in bytes."""
        limits = build_machine_limits(
            core_share=0.5,
            cores=3,
            memory_mb=160,
            max_descriptors=1638,
            link_mbps=10,
        )
        assert limits == MachineLimits(1.5, 160_000_000, 1638, 1_250_000)

    @pytest.mark.parametrize(
        'stated',
        [
            None,
            0,
            -1,
            'much',
            True,
            [],
            float('nan'),
            float('inf'),
            10**30,
            pytest.param(10**400, id='huge'),
            pytest.param(-(10**400), id='-huge'),
        ],
    )
    def test_malformed_value_is_not_stated(self, stated):
        """A limit that can't be read must not stop the process."""
        assert _Limits.model_validate({'memoryMb': stated}).memory_mb is None

    def test_cold_burst_defaults(self):
        """Without a stated tolerance, the rate itself is the bound."""
        assert build_cold_burst(None, None) == ColdBurst(1, 0)
