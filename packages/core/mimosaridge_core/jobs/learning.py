"""Keeps what was learned from finished runs across changes of the owner.

The owner stores it at intervals, not with each run, under a key that only a new
owner reads. A new owner begins with what its predecessor stored last, or with
the declared times if that can't be read.
"""

import math

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import records
from mimosaridge_core.jobs import runtimes
from mimosaridge_core.jobs import state

# Time between two writes of what was learned, seconds; a new owner lacks at
# most the runs that have ended in between.
STORE_INTERVAL_S = 10.0


@dispatch.handles(events.RunTimesRead)
def load_run_times(
    st: state.State, event: events.RunTimesRead, out: list
) -> None:
    """Takes over what a former owner has learned."""
    if st.owner is not None:
        return
    if not runtimes.is_valid(event.run_times, event.wall):
        effects.log_decision(out, "run-times-refused", wall=event.wall)
        return
    st.run_times = event.run_times
    effects.log_decision(out, "run-times-read", **_sizes(st.run_times))


def store_due(st: state.State, owner: state.Owner, out: list) -> None:
    """Stores what was learned and logs how far off expectations were."""
    if st.now < owner.run_times_stored_at + STORE_INTERVAL_S:
        return
    owner.run_times_stored_at = st.now
    errors, owner.run_time_errors = owner.run_time_errors, {}
    for queue, error in sorted(errors.items()):
        _log_queue(st, queue, error, out)
    if errors and st.learns_run_times:
        out.append(effects.StoreRunTimes(owner.token, rounded(st.run_times)))


def _log_queue(
    st: state.State, queue: str, error: records.RunTimeErrors, out: list
) -> None:
    sums = st.run_times.queues.get(queue)
    effects.log_decision(
        out,
        "run-times",
        queue=queue,
        runs=error.runs,
        mean_s=round(error.took_s / error.runs, 3),
        declared_off=round(math.exp(error.declared / error.runs), 3),
        expected_off=round(math.exp(error.learned / error.runs), 3),
        known_runs=round(sums.values[0], 1) if sums else 0,
        slow_workers=sum(
            runtimes.speed(st, worker_id) < runtimes.NOTABLY_SLOW
            for worker_id in st.run_times.workers
        ),
    )


def rounded(learned: model.RunTimes) -> model.RunTimes:
    """Returns a copy with fewer digits, for the store."""

    def table(sums: dict[str, model.Sums]) -> dict[str, model.Sums]:
        return {
            key: model.Sums(
                round(each.at, 1), [round(value, 4) for value in each.values]
            )
            for key, each in sums.items()
        }

    return model.RunTimes(
        table(learned.queues), table(learned.classes), table(learned.workers)
    )


def _sizes(learned: model.RunTimes) -> dict[str, int]:
    return {
        "queues": len(learned.queues),
        "classes": len(learned.classes),
        "workers": len(learned.workers),
    }
