"""What one ledger costs: bytes in the store and time to encode it.

Run it by `.venv/bin/python -m bench.ledgers` or by its path.
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
    """Returns the entry of a small request, open or settled."""
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
    """Returns bytes and milliseconds of processor time to encode a ledger."""
    rng = random.Random(1)
    entries = [make_entry(rng, settled) for _ in range(count)]
    ledger = documents.Ledger(
        "d0", "w", {entry.work.work_id: entry for entry in entries}
    )
    begin = time.process_time()
    for _ in range(REPEATS):
        data = json.dumps(codec.encode_document(ledger))
    took_s = time.process_time() - begin
    return len(data), took_s / REPEATS * 1000


def main() -> None:
    """Prints the table and the rate that the ledgers can carry."""
    for settled in (False, True):
        for count in COUNTS:
            size, took_ms = measure(count, settled)
            name = "settled" if settled else "open"
            print(
                f"{count} {name} entries: {size} bytes,"
                f" {size / count:.0f} an entry, {took_ms:.1f} ms"
            )
    numbers = tunables.Tunables()
    most = numbers.ledger_bytes / (size / count) * numbers.buckets
    rate = most / (numbers.retention_s + 4 * numbers.skew_s)
    print(f"sustained: {rate:.0f} non-idempotent requests a second")


if __name__ == "__main__":
    main()
