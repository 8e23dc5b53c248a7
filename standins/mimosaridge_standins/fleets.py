"""Host lists of the Queensland and Prague deployments."""

from typing import Any

QUEENSLAND_ZONES = ("qld-a", "qld-b", "qld-c")
PRAGUE_ZONES = ("prg-a", "prg-b", "prg-c", "prg-d")
MIB_PER_GIB = 1024


def _group(
    endpoint: str,
    count: int,
    zones: tuple[str, ...],
    per_rack: int,
    capacity: dict[str, int],
    workers_url: str,
) -> list[dict[str, Any]]:
    hosts = []
    for position in range(count):
        zone = zones[position % len(zones)]
        rack = position // len(zones) // per_rack
        worker_id = f"{endpoint}-{position:03d}"
        hosts.append(
            {
                "worker_id": worker_id,
                "url": f"{workers_url}/workers/{worker_id}",
                "zone": zone,
                "rack": f"{zone}-{endpoint}-{rack}",
                "endpoint": endpoint,
                "capacity": capacity,
                "leaving": False,
            }
        )
    return hosts


def _capacity(cores: int, memory_gib: int, accelerators: int) -> dict[str, int]:
    return {
        "cpu_millis": cores * 1000,
        "memory_mib": memory_gib * MIB_PER_GIB,
        "accelerators": accelerators,
        "slots": 8,
        "connections": 64,
    }


def queensland(workers_url: str) -> list[dict[str, Any]]:
    """Returns the hosts of the Queensland deployment."""
    zones = QUEENSLAND_ZONES
    return [
        *_group("registry", 18, zones, 5, _capacity(32, 64, 0), workers_url),
        *_group("actuarial", 7, zones, 3, _capacity(128, 256, 8), workers_url),
    ]


def prague(workers_url: str) -> list[dict[str, Any]]:
    """Returns the hosts of the Prague deployment."""
    zones = PRAGUE_ZONES
    return [
        *_group("ticket", 19, zones, 4, _capacity(16, 64, 0), workers_url),
        *_group("imaging", 8, zones, 3, _capacity(32, 128, 8), workers_url),
    ]
