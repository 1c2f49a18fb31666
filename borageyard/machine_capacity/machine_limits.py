"""What the settings state of the machine of an entry and of cold targets."""

import dataclasses
from typing import Annotated, Any

from pydantic import BeforeValidator

from ..field_checks import MAX_INTEGER

BYTES_PER_MB = 1_000_000
BITS_PER_BYTE = 8


def _positive_or_none(stated: Any) -> float | None:
    """Returns a positive number up to MAX_INTEGER; None for anything else."""
    if isinstance(stated, bool) or not isinstance(stated, int | float):
        return None
    # Whole numbers may exceed the range of a float.
    return float(stated) if 0 < stated <= MAX_INTEGER else None


# A value that counts as not stated if it is not a positive number: a process
# must start in spite of a limit that it can't read.
Lenient = Annotated[float | None, BeforeValidator(_positive_or_none)]


@dataclasses.dataclass(frozen=True, slots=True)
class MachineLimits:
    """Resources of the machine of an entry; None if not stated."""

    # Computing power, in cores of the reference machine.
    processor_cores: float | None = None
    memory_bytes: float | None = None
    max_descriptors: float | None = None
    link_bytes_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBurst:
    """Tolerance for requests to a cold target within one second."""

    # Multiple of the rate of the target, and additional requests.
    overrun_ratio: float = 1
    slack_requests: float = 0


UNKNOWN_MACHINE = MachineLimits()
NO_COLD_BURST = ColdBurst()


def build_machine_limits(
    *,
    core_share: float | None,
    cores: float | None,
    memory_mb: float | None,
    max_descriptors: float | None,
    link_mbps: float | None,
) -> MachineLimits:
    """Returns the limits of a machine in the units of the product.

    Args:
        core_share: Share of a core that a process gets.
        cores: Speed of that core in cores of the reference machine.
        memory_mb: Memory of a process in megabytes.
        max_descriptors: File descriptors of a process.
        link_mbps: Bandwidth of the machine in megabits a second.
    """
    link_mb_per_s = None if link_mbps is None else link_mbps / BITS_PER_BYTE
    return MachineLimits(
        processor_cores=_multiply(core_share, cores),
        memory_bytes=_multiply(memory_mb, BYTES_PER_MB),
        max_descriptors=max_descriptors,
        link_bytes_per_s=_multiply(link_mb_per_s, BYTES_PER_MB),
    )


def build_cold_burst(
    overrun_ratio: float | None, slack_requests: float | None
) -> ColdBurst:
    """Returns the tolerance for cold targets; defaults for missing values.

    Args:
        overrun_ratio: Multiple of the rate of a target.
        slack_requests: Additional requests in a second.
    """
    return ColdBurst(overrun_ratio or 1, slack_requests or 0)


def _multiply(one: float | None, other: float | None) -> float | None:
    return None if one is None or other is None else one * other
