"""How some work stands now, and why tasks of it wait."""

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
    """How some work stands with all live daemons.

    Attributes:
        work_id: The work.
        standings: What each daemon tells.
        silent: Daemons that did not answer in time.
    """

    work_id: str
    standings: list[messages.Standing]
    silent: list[str]


@dispatch.handles(events.StandingAsked)
def _asked(st: state.State, event: events.StandingAsked, out: list) -> None:
    if queries.may_read(st, event.handle, event.token, out):
        question = messages.AskStanding(0, event.work_id)
        queries.ask(st, event.handle, question, out)


@queries.answers(messages.AskStanding)
def _page(
    st: state.State, question: messages.AskStanding
) -> messages.StandingPage:
    standings = [
        *_at_home(st, question.work_id),
        *_in_shards(st, question.work_id),
    ]
    return messages.StandingPage(question.query_id, standings)


@queries.merges(messages.AskStanding, messages.StandingPage)
def _merge(
    st: state.State, query: state.Query, silent: list[str], out: list
) -> None:
    found = [item for page in query.pages for item in page.standings]
    found.sort(key=lambda item: (item.task_id, item.daemon))
    code = codes.Code.OK if found else codes.Code.NOT_FOUND
    standings = Standings(query.question.work_id, found, silent)
    out.append(effects.Reply(query.handle, code, "", standings))


def _at_home(st: state.State, work_id: str) -> list[messages.Standing]:
    work = st.works.get(work_id)
    if work is None:
        return []
    outcome = work.entry.outcome
    if outcome is not None:
        text = outcome.detail or codes.MEANINGS[outcome.code]
        return [_standing(st, "", _phase_of(outcome.code), text)]
    return [
        _standing(st, f"{work_id}/{index}", task.phase, text)
        for index, task in enumerate(work.tasks)
        for text in [_home_text(st, work, index)]
        if text
    ]


def _phase_of(code: codes.Code) -> works.Phase:
    if code == codes.Code.OK:
        return works.Phase.DONE
    if codes.is_not_run(code):
        return works.Phase.NOT_RUN
    return works.Phase.FAILED


def _home_text(st: state.State, work: state.HomeWork, index: int) -> str:
    task = work.tasks[index]
    assignment = work.entry.assignments[index]
    if task.phase == works.Phase.PENDING:
        return "No shard takes it now; its home tries again shortly."
    if task.phase == works.Phase.PLACING and not task.sent:
        return "Its home is writing the assignment to the store."
    if task.phase == works.Phase.PLACING:
        owner = buckets.owner_of(st, assignment.shard) or "nobody yet"
        return f"Sent to {assignment.shard}, held by {owner}."
    return ""


def _standing(
    st: state.State, task_id: str, phase: works.Phase, text: str
) -> messages.Standing:
    return messages.Standing(st.name, task_id, phase, text)


def _in_shards(st: state.State, work_id: str) -> list[messages.Standing]:
    found = []
    for shard in st.shards.values():
        for waiting in shard.queue.waiting.values():
            if waiting.task.work_id == work_id:
                found.append(_why_waiting(st, shard, waiting))
        for worker in shard.workers.values():
            for placed in worker.placed.values():
                if placed.task.work_id == work_id:
                    found.append(_where(st, worker, placed))
    return found


def _where(
    st: state.State, worker: state.Worker, placed: state.Placed
) -> messages.Standing:
    worker_id = worker.host.worker_id
    texts = {
        works.Phase.HELD: f"Room on worker {worker_id} is held for it.",
        works.Phase.PLACING: f"Worker {worker_id} was asked to start it.",
    }
    text = texts.get(placed.phase, f"It runs on worker {worker_id}.")
    return _standing(st, placed.task.task_id, placed.phase, text)


def _why_waiting(
    st: state.State, shard: state.Shard, waiting: queueing.WaitingTask
) -> messages.Standing:
    waited_s = st.now - waiting.queued_at
    text = f"It has waited {waited_s:.1f} s in {shard.name}: "
    text += _reason(st, shard, waiting.task)
    return _standing(st, waiting.task.task_id, works.Phase.PENDING, text)


def _reason(st: state.State, shard: state.Shard, task: works.Task) -> str:
    if shard.zone in st.config.zones_out:
        return f"zone {shard.zone} was taken out."
    if not fairness.within_limit(st, shard, task):
        return f"team {task.team} is at its upper limit there."
    fits = shard.index.find(policies.active(st).fit, task.endpoint, task.needs)
    if fits is None:
        return f"no worker there has room for {describe(task.needs)}."
    return "others go first: more urgent, or of teams further below share."


def describe(needs: resources.Resources) -> str:
    """Says what a task needs, in words."""
    parts = [
        f"{needs.cpu_millis / 1000:g} cores" if needs.cpu_millis else "",
        f"{needs.memory_mib} MiB" if needs.memory_mib else "",
        f"{needs.accelerators} accelerators" if needs.accelerators else "",
        f"{needs.slots} slots",
        f"{needs.connections} connections" if needs.connections else "",
    ]
    return ", ".join(part for part in parts if part)
