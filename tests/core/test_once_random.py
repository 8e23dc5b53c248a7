"""Non-idempotent requests under faults at random moments."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

DAEMONS = ("d0", "d1", "d2")
names = strategies.sampled_from(DAEMONS)
targets = strategies.sampled_from((*DAEMONS, "store"))


def make(**options) -> deployments.Deployment:
    """Returns a deployment that is ready."""
    config = deployments.team_config(
        [configuration.Team("a", "north"), configuration.Team("b", "south")]
    )
    made = deployments.Deployment(fleets.small(), config, **options)
    assert made.run_until(made.ready, 10.0)
    return made


class RandomFaults(stateful.RuleBasedStateMachine):
    """Callers that retry, while daemons, links and the store fail."""

    def __init__(self):
        super().__init__()
        self.made = make()
        self.made.run_s = lambda task: 0.4
        self.submitted = {}
        self.calls = {}
        self.refused = {}

    def _submit(self, name, work_id, within_s):
        work_id, handle = self.made.submit(
            name, "a", work_id=work_id, idempotent=False, within_s=within_s
        )
        self.calls[(name, handle)] = work_id
        self.submitted.setdefault(work_id, []).append(self.made.now)
        self.refused.pop(work_id, None)

    @stateful.rule(
        name=names, within_s=strategies.sampled_from((0.5, 3.0, 20.0))
    )
    def submit(self, name, within_s):
        if name in self.made.daemons:
            self._submit(name, "", within_s)

    @stateful.rule(
        name=names,
        data=strategies.data(),
        within_s=strategies.sampled_from((-0.1, 0.5, 20.0)),
    )
    def retry(self, name, data, within_s):
        if self.submitted and name in self.made.daemons:
            known = strategies.sampled_from(sorted(self.submitted))
            self._submit(name, data.draw(known), within_s)

    @stateful.rule(name=names, data=strategies.data())
    def cancel(self, name, data):
        if self.submitted and name in self.made.daemons:
            known = strategies.sampled_from(sorted(self.submitted))
            self.made.cancel(name, "a", data.draw(known))

    @stateful.rule(name=names)
    def kill(self, name):
        self.made.kill(name)

    @stateful.rule(name=names)
    def restart(self, name):
        if name not in self.made.daemons:
            self.made.start(name)

    @stateful.rule(name=names)
    def drain(self, name):
        if name in self.made.daemons:
            self.made.drain(name)

    @stateful.rule(name=names)
    def pause(self, name):
        if name in self.made.daemons:
            self.made.pause(name)

    @stateful.rule(name=names)
    def resume(self, name):
        if name in self.made.paused:
            self.made.resume(name)

    @stateful.rule(one=names, other=targets)
    def cut(self, one, other):
        self.made.cut(one, other)

    @stateful.rule()
    def heal(self):
        self.made.heal()

    @stateful.rule(down=strategies.booleans())
    def store(self, down):
        self.made.store.down = down

    @stateful.rule(
        answers=strategies.integers(0, 3),
        writes=strategies.integers(0, 2),
        messages=strategies.integers(0, 6),
        late_s=strategies.sampled_from((0.3, 2.0, 9.0)),
    )
    def lose(self, answers, writes, messages, late_s):
        self.made.store.lose_answers = answers
        self.made.late_writes = writes
        self.made.late_messages = messages
        self.made.late_s = late_s

    @stateful.rule(lost=strategies.integers(1, 2))
    def lose_starts(self, lost):
        for worker in self.made.workers.values():
            worker.lose_starts = lost

    @stateful.rule(seconds=strategies.sampled_from((0.03, 0.1, 0.5, 2, 9)))
    def wait(self, seconds):
        self.made.run(seconds)

    @stateful.invariant()
    def holds(self):
        runs = {}
        for worker in self.made.workers.values():
            for at, task_id, _ in worker.starts:
                runs.setdefault(task_id.partition("/")[0], []).append(at)
        for work_id, starts in runs.items():
            assert len(starts) == 1, f"{work_id} ran at {starts}"
        for call, work_id in list(self.calls.items()):
            reply = self.made.replies.get(call)
            if reply is None:
                continue
            del self.calls[call]
            self._check_reply(work_id, reply)
        for work_id, reply in self.refused.items():
            assert work_id not in runs, f"{work_id} ran; caller has {reply}"

    def _check_reply(self, work_id, reply):
        if codes.is_not_run(reply.code):
            # A refusal that was on its way when the caller tried again may
            # be followed by the run of that later try.
            if len(self.submitted[work_id]) == 1 or not self._open(work_id):
                self.refused[work_id] = reply
        elif reply.code == codes.Code.OK:
            expected = f"answer of {work_id}/0".encode()
            assert reply.payload.answer == expected, reply

    def _open(self, work_id):
        return work_id in self.calls.values()

    def teardown(self):
        made = self.made
        made.store.down = False
        made.heal()
        made.late_messages = made.late_writes = made.store.lose_answers = 0
        for name in list(made.paused):
            made.resume(name)
        made.run(40.0)
        self.holds()
        open_calls = [call for call in self.calls if call[0] in made.daemons]
        lost = [call for call in open_calls if call[0] not in made.stopped]
        assert not lost or len(made.daemons) < len(DAEMONS), lost


RandomFaults.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=30,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    report_multiple_bugs=False,
)
RandomFaultsTest = RandomFaults.TestCase
