"""Checkpoints and task bodies of stand-in workers, in the daemon's encoding."""

import base64

import gevent
import testtools

from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_daemon import codec
from mimosaridge_standins import workers

KEY = ("work/0", 1)


def _label(attempt, checkpoint, body=b'{"run_s": 60}'):
    needs = resources.Resources(slots=1)
    task = works.Task(
        "work/0",
        attempt,
        "work",
        "bucket-0",
        "a",
        works.Kind.BATCH,
        needs,
        "",
        works.Urgency.NORMAL,
        0.0,
        0.0,
        0.0,
        True,
        body,
        checkpoint,
    )
    return codec.adapter(works.Task).dump_python(task, mode="json")


class CheckpointTest(testtools.TestCase):
    """Stopping a task with a checkpoint and resuming from one."""

    def _worker(self):
        worker = workers.Worker("w0", {"slots": 4})
        worker.capacity = dict.fromkeys(workers.RESOURCE_NAMES, 100)
        return worker

    def test_checkpoint_holds_run_time(self):
        worker = self._worker()
        worker.start(_label(1, b""))
        gevent.sleep(0.05)
        worker.checkpoint(KEY)
        run = worker.runs[KEY]
        self.assertTrue(run.ended)
        self.assertFalse(run.ok)
        self.assertGreater(float(base64.b64decode(run.answer)), 0.0)

    def test_task_resumes_from_its_checkpoint(self):
        worker = self._worker()
        worker.start(_label(1, b"59.9"))
        gevent.sleep(1.0)
        self.assertTrue(worker.runs[KEY].ok)

    def test_body_is_decoded_as_url_safe_base64(self):
        worker = self._worker()
        worker.start(_label(1, b"", b'{"run_s": 0, "mark": "ab>cd?x~~"}'))
        gevent.sleep(0.1)
        answer = base64.b64decode(worker.runs[KEY].answer)
        self.assertIn(b"ab>cd?x~~", answer)
