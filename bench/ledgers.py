"""Measures the stored size and the encoding time of one ledger.

Run with `.venv/bin/python -m bench.ledgers` or by path.
"""

import json
import random
import time

from mimosaridge_core import codes
from mimosaridge_core import documents
from mimosaridge_core import resources
from mimosaridge_core import tunables
from mimosaridge_core import works
from mimosaridge_daemon import codec
from mimosaridge_fakes import deployments

COUNTS = (100, 300, 900)
BODY_BYTES = 200
ANSWER_BYTES = 100
REPEATS = 10
NOW = 1_700_000_000.0


def make_entry(rng: random.Random, settled: bool) -> documents.Entry:
    """Returns the ledger entry of an open or settled small request."""
    work = works.Work(
        deployments.make_id(NOW, rng),
        "tontine",
        works.Kind.REQUEST,
        1,
        resources.Resources(cpu_millis=500, slots=1),
        "registry",
        False,
        works.Urgency.NORMAL,
        NOW,
        NOW,
        0.0,
        b"" if settled else b"x" * BODY_BYTES,
    )
    entry = documents.Entry(work, [documents.Assignment(1, "shard-qld-a-0")])
    if settled:
        answer = b"x" * ANSWER_BYTES
        entry.assignments[0].outcome = works.Outcome(codes.Code.OK)
        entry.outcome = works.Outcome(codes.Code.OK, "", answer)
        entry.settled_at = NOW
    return entry


def measure(count: int, settled: bool) -> tuple[int, float]:
    """Returns the encoded size in bytes and the CPU time in milliseconds."""
    rng = random.Random(1)
    entries = [make_entry(rng, settled) for _ in range(count)]
    ledger = documents.Ledger(
        "d0", "w", {entry.work.work_id: entry for entry in entries}
    )
    started_s = time.process_time()
    for _ in range(REPEATS):
        data = json.dumps(codec.encode_document(ledger))
    elapsed_s = time.process_time() - started_s
    return len(data), elapsed_s / REPEATS * 1000


def main() -> None:
    """Prints ledger costs and the sustainable rate of requests."""
    for settled in (False, True):
        for count in COUNTS:
            size, encode_ms = measure(count, settled)
            name = "settled" if settled else "open"
            print(
                f"{count} {name} entries: {size} bytes,"
                f" {size / count:.0f} an entry, {encode_ms:.1f} ms"
            )
    settings = tunables.Tunables()
    max_entries = settings.ledger_bytes / (size / count) * settings.buckets
    rate = max_entries / (settings.retention_s + 4 * settings.skew_s)
    print(f"sustained: {rate:.0f} non-idempotent requests a second")


if __name__ == "__main__":
    main()
