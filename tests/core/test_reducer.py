"""The reducer over the whole path, with fakes at its interfaces."""

import copy
import pickle

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import reducer
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


def _deployment(**options) -> deployments.Deployment:
    config = deployments.team_config(
        [configuration.Team("a", "north"), configuration.Team("b", "south")]
    )
    made = deployments.Deployment(fleets.small(), config, **options)
    assert made.run_until(made.ready, 10.0)
    return made


class PathTest(testtools.TestCase):
    """Work from its caller to a worker and back."""

    def test_each_caller_receives_the_answer_to_its_own_request(self):
        made = _deployment()
        sent = {}
        for number in range(60):
            name = f"d{number % 3}"
            work_id, handle = made.submit(name, "a", idempotent=number % 2 == 0)
            sent[(name, handle)] = work_id
        made.run(5.0)
        for call, work_id in sent.items():
            reply = made.replies[call]
            self.assertEqual(codes.Code.OK, reply.code)
            expected = f"answer of {work_id}/0".encode()
            self.assertEqual(expected, reply.payload.answer)

    def test_all_tasks_of_a_gang_start_together_or_none(self):
        made = _deployment()
        made.run_s = lambda task: 30.0
        needs = resources.Resources(cpu_millis=4000, slots=1)
        first, _ = made.submit(
            "d0", "a", kind=works.Kind.GANG, count=4, needs=needs
        )
        made.run(3.0)
        second, _ = made.submit(
            "d1", "b", kind=works.Kind.GANG, count=4, needs=needs
        )
        made.run(10.0)
        started = [
            task_id.partition("/")[0]
            for worker in made.workers.values()
            for _, task_id, _ in worker.starts
        ]
        self.assertEqual(4, started.count(first))
        self.assertEqual(0, started.count(second))

    def test_a_service_keeps_its_replicas_running(self):
        made = _deployment()
        config = copy.deepcopy(made.daemons["d0"].config)
        config.number += 1
        config.services["watch"] = configuration.Service(
            "watch", "a", 3, resources.Resources(slots=1)
        )
        made.store._set("config", config, "")
        made.run(3.0)
        running = [
            (worker, key)
            for worker in made.workers.values()
            for key, run in worker.runs.items()
            if not run.ended
        ]
        self.assertEqual(3, len(running))
        worker, key = running[0]
        made._report(worker, worker.end(key, False, "crashed"))
        made.run(8.0)
        alive = sum(
            not run.ended
            for worker in made.workers.values()
            for run in worker.runs.values()
        )
        self.assertEqual(3, alive)


class ReplayTest(testtools.TestCase):
    """The same events give the same effects."""

    def test_a_recorded_run_gives_the_same_effects_again(self):
        made = _deployment()
        daemon = made.daemons["d0"]
        begin = pickle.dumps(daemon)
        recorded = []
        original = reducer.reduce

        def recording(st, event):
            if st is not daemon:
                return original(st, event)
            before = pickle.dumps(event)
            produced = original(st, event)
            recorded.append((before, pickle.dumps(produced)))
            return produced

        self.addCleanup(setattr, reducer, "reduce", original)
        reducer.reduce = recording
        for number in range(20):
            made.submit("d0", "a", idempotent=number % 2 == 0)
        made.run(3.0)
        self.assertGreater(len(recorded), 60)
        replayed = pickle.loads(begin)
        for before, produced in recorded:
            again = original(replayed, pickle.loads(before))
            self.assertEqual(pickle.loads(produced), again)
