"""End-to-end tests of the reducer with fake stores, peers and workers."""

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
    deployment = deployments.Deployment(fleets.small(), config, **options)
    assert deployment.run_until(deployment.ready, 10.0)
    return deployment


class EndToEndTest(testtools.TestCase):
    """Work from its caller to a worker and back."""

    def test_each_caller_receives_the_answer_to_its_own_request(self):
        deployment = _deployment()
        work_ids = {}
        for number in range(60):
            name = f"d{number % 3}"
            work_id, handle = deployment.submit(
                name, "a", idempotent=number % 2 == 0
            )
            work_ids[(name, handle)] = work_id
        deployment.run(5.0)
        for call, work_id in work_ids.items():
            reply = deployment.replies[call]
            self.assertEqual(codes.Code.OK, reply.code)
            expected = f"answer of {work_id}/0".encode()
            self.assertEqual(expected, reply.payload.answer)

    def test_all_tasks_of_a_gang_start_together_or_none(self):
        deployment = _deployment()
        deployment.run_s = lambda task: 30.0
        needs = resources.Resources(cpu_millis=4000, slots=1)
        first_id, _ = deployment.submit(
            "d0", "a", kind=works.Kind.GANG, count=4, needs=needs
        )
        deployment.run(3.0)
        second_id, _ = deployment.submit(
            "d1", "b", kind=works.Kind.GANG, count=4, needs=needs
        )
        deployment.run(10.0)
        started = [
            task_id.partition("/")[0]
            for worker in deployment.workers.values()
            for _, task_id, _ in worker.starts
        ]
        self.assertEqual(4, started.count(first_id))
        self.assertEqual(0, started.count(second_id))

    def test_a_service_keeps_its_replicas_running(self):
        deployment = _deployment()
        config = copy.deepcopy(deployment.daemons["d0"].config)
        config.number += 1
        config.services["watch"] = configuration.Service(
            "watch", "a", 3, resources.Resources(slots=1)
        )
        deployment.store._set("config", config, "")
        deployment.run(3.0)
        running = [
            (worker, key)
            for worker in deployment.workers.values()
            for key, run in worker.runs.items()
            if not run.ended
        ]
        self.assertEqual(3, len(running))
        worker, key = running[0]
        deployment._report(worker, worker.end(key, False, "crashed"))
        deployment.run(8.0)
        running_count = sum(
            not run.ended
            for worker in deployment.workers.values()
            for run in worker.runs.values()
        )
        self.assertEqual(3, running_count)


class ReplayTest(testtools.TestCase):
    """The same events produce the same effects."""

    def test_replayed_events_produce_the_recorded_effects(self):
        deployment = _deployment()
        daemon = deployment.daemons["d0"]
        initial_state = pickle.dumps(daemon)
        recorded = []
        original = reducer.reduce

        def record_and_reduce(st, event):
            if st is not daemon:
                return original(st, event)
            event_bytes = pickle.dumps(event)
            produced = original(st, event)
            recorded.append((event_bytes, pickle.dumps(produced)))
            return produced

        self.addCleanup(setattr, reducer, "reduce", original)
        reducer.reduce = record_and_reduce
        for number in range(20):
            deployment.submit("d0", "a", idempotent=number % 2 == 0)
        deployment.run(3.0)
        self.assertGreater(len(recorded), 60)
        replayed_state = pickle.loads(initial_state)
        for event_bytes, produced in recorded:
            replayed_effects = original(
                replayed_state, pickle.loads(event_bytes)
            )
            self.assertEqual(pickle.loads(produced), replayed_effects)
