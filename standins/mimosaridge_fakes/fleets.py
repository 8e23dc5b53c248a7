"""Host lists for tests."""

from mimosaridge_core import events
from mimosaridge_core import resources


def small(
    zones: int = 3, per_zone: int = 2, slots: int = 4
) -> list[events.Host]:
    """Returns the hosts of endpoint "registry", spread over zones."""
    capacity = resources.Resources(
        cpu_millis=4000,
        memory_mib=8192,
        accelerators=2,
        slots=slots,
        connections=16,
    )
    return [
        events.Host(
            f"w{zone}-{position}",
            f"http://w{zone}-{position}",
            f"z{zone}",
            f"z{zone}-r0",
            "registry",
            capacity,
        )
        for zone in range(zones)
        for position in range(per_zone)
    ]
