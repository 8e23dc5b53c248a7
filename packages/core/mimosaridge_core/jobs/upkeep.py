"""Waves of upkeep: which machines go down when, and what ends for that.

Operators request that some machines have their upkeep within a time, at most so
many at once. An order ends everything that runs on the machine, so its worker
is emptied first: it gets no starts, tasks that end in time are left alone,
others are stopped as late as the wave allows, those with checkpoints at once.
Tasks that last are moved only while enough others of their step are at work.

The load that this answers: a wave beside full workers. At most twice as many
workers as may be down are closed to starts at a time, those with least to lose
first.

A machine whose order has no answer counts as down. The platform answers an
order again as it did at first, so it is repeated; a new owner repeats all that
are not stored as begun, after the time that the platform wants between orders
of two owners.
"""

import dataclasses

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import machinelists
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import runtimes
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping

# An order without answer is repeated after this time, and a refused one after
# the other, seconds.
ORDER_TIMEOUT_S = 2.0
RETRY_S = 0.5
# Added to the time that the upkeep takes a machine away, seconds.
RETURN_MARGIN_S = 0.5
# Time that a wave keeps in reserve for what doesn't go as expected, seconds.
RESERVE_S = 1.0
# Progress of a task that lasts and is at work, in percent.
AT_WORK = 100


@dispatch.handles(events.WavesChanged)
def change_waves(
    st: state.State, event: events.WavesChanged, out: list
) -> None:
    """Replaces the waves that operators request."""
    if event.waves == st.waves:
        return
    st.waves_known_at = {
        number: st.waves_known_at[number]
        if wave == st.waves.get(number)
        else st.now
        for number, wave in event.waves.items()
    }
    st.waves = event.waves
    effects.log_decision(out, "waves", numbers=sorted(st.waves))


@dispatch.handles(events.WaveProgressStored)
def store_progress(
    st: state.State, event: events.WaveProgressStored, out: list
) -> None:
    """Records how far a wave is stored to be; the owner knows more."""
    if st.owner is None:
        st.wave_progress[event.progress.number] = event.progress


def check(st: state.State, owner: state.Owner, out: list) -> None:
    """Carries the waves on that are not completed."""
    upkeep = owner.upkeep
    open_waves = [
        wave for _, wave in sorted(st.waves.items()) if not _is_over(st, wave)
    ]
    if not open_waves:
        upkeep.emptied.clear()
        return
    # Another owner may have given orders until just before this one.
    if upkeep.is_fenced or st.now < owner.since + st.bounds.turns_s:
        return
    machinelists.request_due(st, owner, out)
    if not all(machinelists.is_current(st, owner, wave) for wave in open_waves):
        return
    wanted: set[str] = set()
    for wave in open_waves:
        wanted |= _carry_on(st, owner, wave, out)
    for worker_id in upkeep.emptied.keys() - wanted:
        del upkeep.emptied[worker_id]


def is_emptied(owner: state.Owner, worker_id: str) -> bool:
    """Returns whether a worker gets no starts because of its upkeep."""
    return worker_id in owner.upkeep.emptied


def _is_over(st: state.State, wave: model.Wave) -> bool:
    """Returns whether a wave is completed as operators request it now."""
    progress = st.wave_progress.get(wave.number)
    return (
        progress is not None
        and progress.is_completed
        and set(wave.machines) <= set(progress.begun)
    )


def _carry_on(
    st: state.State, owner: state.Owner, wave: model.Wave, out: list
) -> set[str]:
    """Carries a wave on; returns the workers that stay closed for it."""
    progress = st.wave_progress.get(wave.number)
    if progress is None:
        progress = model.WaveProgress(wave.number, st.wall)
        _store(st, owner, progress, out)
    elif progress.is_completed:
        progress = dataclasses.replace(
            progress, begun_at=st.wall, is_completed=False
        )
        _store(st, owner, progress, out)
    upkeep = owner.upkeep
    begun = set(progress.begun)
    left = [name for name in wave.machines if name not in begun]
    if not left:
        if not _down(st, owner, wave):
            _complete(st, owner, wave, out)
        return set()
    places = wave.most_down - len(_down(st, owner, wave))
    closed = _workers_to_empty(st, owner, wave, left)
    until = _until(st, wave, progress, len(left))
    for name, worker in closed:
        worker_id = worker.entry.worker_id
        if worker_id not in upkeep.emptied:
            upkeep.emptied[worker_id] = st.now
            effects.log_decision(
                out,
                "upkeep-empties",
                wave=wave.number,
                machine=name,
                worker=worker_id,
                runs=len(worker.runs),
                left=len(left),
                until_s=round(until - st.now, 2),
            )
        _empty(st, owner, worker, until, out)
    _repeat_orders(st, owner, wave, out)
    if not machinelists.lacks_workers(owner):
        empty = [name for name, worker in closed if _is_empty(owner, worker)]
        _order_upkeep(st, owner, wave, left, empty, places, out)
    return {worker.entry.worker_id for _, worker in closed}


def _is_empty(owner: state.Owner, worker: state.Worker) -> bool:
    """Returns whether a worker runs nothing, also of former owners."""
    return not worker.runs and worker.entry.worker_id not in owner.unheld


def _order_upkeep(
    st: state.State,
    owner: state.Owner,
    wave: model.Wave,
    left: list[str],
    empty: list[str],
    places: int,
    out: list,
) -> None:
    """Orders the upkeep of machines on which nothing runs.

    Args:
        st: The state.
        owner: The owner.
        wave: The wave.
        left: Its machines whose upkeep has not begun.
        empty: Those of them whose worker is empty.
        places: How many more may be down.
        out: Effects.
    """
    upkeep = owner.upkeep
    unused = [name for name in left if machinelists.is_unused(owner, name)]
    # The platform answers that there is no such machine, or begins its upkeep.
    missing = [name for name in left if machinelists.is_missing(owner, name)]
    for name in unused + empty + missing:
        key = (wave.number, name)
        if places <= 0:
            break
        if key in upkeep.ordered or st.now < upkeep.retry_at.get(key, 0.0):
            continue
        if name in upkeep.machines and not upkeep.machines[name].is_up:
            continue
        places -= 1
        _order(st, owner, wave, name, out)


def _down(st: state.State, owner: state.Owner, wave: model.Wave) -> set[str]:
    """Returns the machines of a wave that are or may be down for it."""
    upkeep = owner.upkeep
    return {
        name
        for name in wave.machines
        if (wave.number, name) in upkeep.ordered
        or st.now < upkeep.down_until.get((wave.number, name), 0.0)
        or (name in upkeep.machines and not upkeep.machines[name].is_up)
    }


def _workers_to_empty(
    st: state.State, owner: state.Owner, wave: model.Wave, left: list[str]
) -> list[tuple[str, state.Worker]]:
    """Returns the machines whose workers to empty now, with the workers.

    Those that are being emptied stay; then come those with least to lose.
    """
    found = []
    for name in left:
        worker = machinelists.worker_of(owner, name)
        if worker is not None and not worker.entry.draining:
            found.append((name, worker))
    found.sort(
        key=lambda pair: (
            pair[1].entry.worker_id not in owner.upkeep.emptied,
            len(pair[1].runs),
            pair[0],
        )
    )
    return found[: 2 * wave.most_down]


def _until(
    st: state.State,
    wave: model.Wave,
    progress: model.WaveProgress,
    left: int,
) -> float:
    """Returns until when the next machines should be empty, steady seconds.

    The time that is left is divided among the rounds that are left.
    """
    due_s = progress.begun_at + wave.within_s - st.wall - RESERVE_S
    rounds = -(-left // wave.most_down)
    away_s = st.bounds.upkeep_s + RETURN_MARGIN_S
    return st.now + max(0.0, due_s / rounds - away_s - st.bounds.stop_s)


def _empty(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    until: float,
    out: list,
) -> None:
    """Stops the runs of a worker that would not end in time."""
    for run in list(worker.runs.values()):
        group = owner.groups.get(run.task_id.rpartition(".")[0])
        if run.phase != state.Phase.RUNNING or group is None:
            continue
        if group.step.standing:
            if _may_move(group, run):
                stopping.stop(st, owner, worker, run, "upkeep", out)
            continue
        left_s = runtimes.remaining_s(st, run, group.expected)
        is_over = st.now >= until
        ends_in_time = st.now + left_s <= until
        can_save = group.step.checkpoints and not group.step.gang
        if is_over or (can_save and not ends_in_time):
            stopping.stop(st, owner, worker, run, "upkeep", out)


def _may_move(group: state.Group, run: state.Run) -> bool:
    """Returns whether a task that lasts may be stopped to be moved.

    All others of its step that are not at work count as away, since another
    machine may just have lost them.
    """
    others = group.step.tasks - 1
    at_work = sum(
        any(
            other.percent >= AT_WORK and not other.why_stopped
            for other in started
        )
        for started in group.runs.values()
        if run not in started
    )
    return others - at_work < max(1, group.step.may_miss)


def _order(
    st: state.State,
    owner: state.Owner,
    wave: model.Wave,
    name: str,
    out: list,
) -> None:
    owner.upkeep.ordered[(wave.number, name)] = st.now
    out.append(effects.BeginUpkeep(owner.token, wave.number, name))


def _repeat_orders(
    st: state.State, owner: state.Owner, wave: model.Wave, out: list
) -> None:
    """Sends orders without an answer again; the machine may be down."""
    for (number, name), at in list(owner.upkeep.ordered.items()):
        if number == wave.number and st.now >= at + ORDER_TIMEOUT_S:
            _order(st, owner, wave, name, out)


@dispatch.handles(events.UpkeepAnswered)
def handle_upkeep_answer(
    st: state.State, event: events.UpkeepAnswered, out: list
) -> None:
    """Records the answer to an order."""
    owner = st.owner
    if owner is None or owner.token != event.token:
        return
    key = (event.wave, event.machine)
    upkeep = owner.upkeep
    effects.log_decision(
        out,
        "upkeep",
        wave=event.wave,
        machine=event.machine,
        result=event.result.value,
    )
    if event.result == events.UpkeepResult.UNKNOWN:
        return
    upkeep.ordered.pop(key, None)
    if event.result == events.UpkeepResult.FENCED:
        upkeep.is_fenced = True
        return
    progress = st.wave_progress.get(event.wave)
    if progress is None:
        return
    if event.result == events.UpkeepResult.BEGUN:
        away_s = st.bounds.upkeep_s + RETURN_MARGIN_S
        upkeep.down_until[key] = st.now + away_s
    elif event.result != events.UpkeepResult.NOT_IN_WAVE:
        upkeep.retry_at[key] = st.now + RETRY_S
        return
    if event.machine not in progress.begun:
        begun = (*progress.begun, event.machine)
        _store(st, owner, dataclasses.replace(progress, begun=begun), out)


def _complete(
    st: state.State, owner: state.Owner, wave: model.Wave, out: list
) -> None:
    progress = dataclasses.replace(
        st.wave_progress[wave.number], is_completed=True
    )
    _store(st, owner, progress, out)


def _store(
    st: state.State,
    owner: state.Owner,
    progress: model.WaveProgress,
    out: list,
) -> None:
    st.wave_progress[progress.number] = progress
    out.append(effects.StoreWave(owner.token, progress))
    effects.log_decision(
        out,
        "wave",
        number=progress.number,
        begun=len(progress.begun),
        is_completed=progress.is_completed,
        took_s=round(st.wall - progress.begun_at, 2),
    )
