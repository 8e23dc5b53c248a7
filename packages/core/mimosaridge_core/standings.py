"""Current state of work, and the reasons why its tasks wait."""

import dataclasses

from mimosaridge_core import buckets
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import fairness
from mimosaridge_core import messages
from mimosaridge_core import policies
from mimosaridge_core import queries
from mimosaridge_core import queueing
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Standings:
    """State of a piece of work according to all live daemons.

    Attributes:
        work_id: Id of the work.
        standings: States of its tasks, as reported by each daemon.
        silent: Daemons that did not answer in time.
    """

    work_id: str
    standings: list[messages.Standing]
    silent: list[str]


@dispatch.handles(events.StandingRequested)
def _on_standing_requested(
    st: state.State, event: events.StandingRequested, out: list
) -> None:
    if queries.authorize_read(st, event.handle, event.token, out):
        question = messages.AskStanding(0, event.work_id)
        queries.broadcast(st, event.handle, question, out)


@queries.answers(messages.AskStanding)
def _make_page(
    st: state.State, question: messages.AskStanding
) -> messages.StandingPage:
    standings = [
        *_home_standings(st, question.work_id),
        *_shard_standings(st, question.work_id),
    ]
    return messages.StandingPage(question.query_id, standings)


@queries.merges(messages.AskStanding, messages.StandingPage)
def _merge_pages(
    st: state.State, query: state.Query, silent: list[str], out: list
) -> None:
    found = [item for page in query.pages for item in page.standings]
    found.sort(key=lambda item: (item.task_id, item.daemon))
    code = codes.Code.OK if found else codes.Code.NOT_FOUND
    standings = Standings(query.question.work_id, found, silent)
    out.append(effects.Reply(query.handle, code, "", standings))


def _home_standings(st: state.State, work_id: str) -> list[messages.Standing]:
    work = st.works.get(work_id)
    if work is None:
        return []
    outcome = work.entry.outcome
    if outcome is not None:
        text = outcome.detail or codes.MEANINGS[outcome.code]
        return [_make_standing(st, "", _outcome_phase(outcome.code), text)]
    return [
        _make_standing(st, f"{work_id}/{index}", task.phase, text)
        for index, task in enumerate(work.tasks)
        for text in [_home_text(st, work, index)]
        if text
    ]


def _outcome_phase(code: codes.Code) -> works.Phase:
    if code == codes.Code.OK:
        return works.Phase.DONE
    if codes.is_not_run(code):
        return works.Phase.NOT_RUN
    return works.Phase.FAILED


def _home_text(st: state.State, work: state.HomeWork, index: int) -> str:
    task = work.tasks[index]
    assignment = work.entry.assignments[index]
    if task.phase == works.Phase.PENDING:
        return (
            "No shard accepts the task at present; its home will retry shortly."
        )
    if task.phase == works.Phase.PLACING and not task.sent:
        return "The task's home is writing the assignment to the store."
    if task.phase == works.Phase.PLACING:
        owner = buckets.owner_of(st, assignment.shard) or "no daemon yet"
        return f"Sent to {assignment.shard}, owned by {owner}."
    return ""


def _make_standing(
    st: state.State, task_id: str, phase: works.Phase, text: str
) -> messages.Standing:
    return messages.Standing(st.name, task_id, phase, text)


def _shard_standings(st: state.State, work_id: str) -> list[messages.Standing]:
    found = []
    for shard in st.shards.values():
        for waiting in shard.queue.waiting.values():
            if waiting.task.work_id == work_id:
                found.append(_waiting_standing(st, shard, waiting))
        for worker in shard.workers.values():
            for placed in worker.placed.values():
                if placed.task.work_id == work_id:
                    found.append(_placed_standing(st, worker, placed))
    return found


def _placed_standing(
    st: state.State, worker: state.Worker, placed: state.Placed
) -> messages.Standing:
    worker_id = worker.host.worker_id
    texts = {
        works.Phase.HELD: f"Resources are reserved on worker {worker_id}.",
        works.Phase.PLACING: f"A start request was sent to worker {worker_id}.",
    }
    text = texts.get(placed.phase, f"It runs on worker {worker_id}.")
    return _make_standing(st, placed.task.task_id, placed.phase, text)


def _waiting_standing(
    st: state.State, shard: state.Shard, waiting: queueing.WaitingTask
) -> messages.Standing:
    waited_s = st.now - waiting.queued_at
    text = f"Waiting for {waited_s:.1f} s in {shard.name}: "
    text += _waiting_reason(st, shard, waiting.task)
    return _make_standing(st, waiting.task.task_id, works.Phase.PENDING, text)


def _waiting_reason(
    st: state.State, shard: state.Shard, task: works.Task
) -> str:
    if shard.zone in st.config.zones_out:
        return f"zone {shard.zone} is taken out of service."
    if not fairness.within_limit(st, shard, task):
        return f"team {task.team} has reached its upper limit there."
    fits = shard.index.find(policies.active(st).fit, task.endpoint, task.needs)
    if fits is None:
        return f"no worker there has room for {describe(task.needs)}."
    return (
        "tasks that are more urgent or of teams further below share go first."
    )


def describe(needs: resources.Resources) -> str:
    """Returns a human-readable description of resource needs."""
    parts = [
        f"{needs.cpu_millis / 1000:g} cores" if needs.cpu_millis else "",
        f"{needs.memory_mib} MiB" if needs.memory_mib else "",
        f"{needs.accelerators} accelerators" if needs.accelerators else "",
        f"{needs.slots} slots",
        f"{needs.connections} connections" if needs.connections else "",
    ]
    return ", ".join(part for part in parts if part)
