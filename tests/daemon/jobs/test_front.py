"""Tests of writes to the store on behalf of callers."""

import io
import json
import time

import result
import testtools

from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import front
from mimosaridge_daemon.jobs import messages
from mimosaridge_platform import storecalls

NO_ANSWER = result.Err(clients.Failure("no answer", is_sent=True))
REQUEST = storecalls.write({}, {"k": b"v"})


class FakeStore:
    """A store with a slow probe and one fixed answer."""

    def __init__(self, probe_s, answer):
        self.probe_s = probe_s
        self.answer = answer
        self.timeouts = []

    def is_answering(self):
        time.sleep(self.probe_s)
        return True

    def call(self, request, timeout_s):
        self.timeouts.append(timeout_s)
        return self.answer


class FakeEngine:
    """The attributes of an engine that writes need."""

    def __init__(self, store):
        self.store = store
        self.store_timeout_s = 1.0


class WriteTest(testtools.TestCase):
    """Results of writes and the caller's deadline."""

    def _write(self, probe_s, answer, time_s=0.05):
        application = front.Front.__new__(front.Front)
        self.store = FakeStore(probe_s, answer)
        application.engine = FakeEngine(self.store)
        application._deadline = lambda: time.monotonic() + time_s
        written = application._write(REQUEST)
        return written and written.result

    def test_nothing_is_sent_after_the_deadline(self):
        outcome = self._write(0.1, NO_ANSWER)
        self.assertEqual(storecalls.WriteResult.NOT_APPLIED, outcome)
        self.assertEqual([], self.store.timeouts)

    def test_write_without_answer_is_in_doubt(self):
        self.assertIsNone(self._write(0.0, NO_ANSWER))
        self.assertTrue(all(wait > 0 for wait in self.store.timeouts))


JOB_ID = "0123456789abcdef"
PATH = f"/q/{JOB_ID}"
BODY = b'{"taskSpec":"text","steps":[{"count":1,"cpu":100}]}'


class KeyValueStore:
    """A store that can keep writes back, which get no answer.

    Attributes:
        revisions: Revisions of the keys that exist.
        is_losing: Whether writes get no answer for now.
        late: Writes that got none and have not been carried out.
    """

    def __init__(self):
        self.revision = 10
        self.revisions = {}
        self.is_losing = False
        self.late = []

    def is_answering(self):
        return True

    def call(self, request, timeout_s=1.0):
        if request.method == "GET":
            return result.Ok((404, b"{}"))
        if self.is_losing:
            self.late.append(request)
            return NO_ANSWER
        return self._carry_out(request)

    def carry_out_late(self):
        """Carries out the writes that got no answer."""
        for request in self.late:
            self._carry_out(request)

    def _carry_out(self, request):
        body = json.loads(request.body)
        rows = [
            {"key": row["key"], "revision": self.revisions.get(row["key"], 0)}
            for row in body["expectedRevision"]
        ]
        if rows != body["expectedRevision"]:
            for row in rows:
                row["value"] = "e30=" if row["revision"] else None
            return result.Ok((412, json.dumps({"items": rows}).encode()))
        self.revision += 1
        for row in body["writes"]:
            self.revisions[row["key"]] = self.revision
        return result.Ok((200, b'{"revision":%d}' % self.revision))

    @property
    def jobs(self):
        return [key for key in self.revisions if key == documents.JOBS + JOB_ID]


class CallingEngine(FakeEngine):
    """The attributes of an engine that calls of callers need."""

    has_job_table = True

    def __init__(self):
        super().__init__(KeyValueStore())
        queue = model.Queue("q", "host", "/q/", "registry", public=True)
        self.state = state.State(
            configuration=model.Configuration(1, {"q": queue}, {}, {})
        )
        self.reader = self.confirmations = self
        self.announced = []
        self.reasons = []

    def wait_until_recent(self):
        return True

    def log(self, rule, **fields):
        self.reasons.append(fields.get("reason", ""))

    def post(self, event):
        pass

    def announce(self, event, message):
        self.announced.append(message)


class CancelTest(testtools.TestCase):
    """A caller cancels a job whose submission got no answer."""

    def setUp(self):
        super().setUp()
        self.engine = CallingEngine()
        self.store = self.engine.store

    def _call(self, method, body=b""):
        statuses = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": PATH,
            "SERVER_NAME": "host",
            "SERVER_PORT": "80",
            "SERVER_PROTOCOL": "HTTP/1.1",
            "HTTP_HOST": "host",
            "HTTP_X_DEADLINE_MS": "500",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            "wsgi.errors": io.StringIO(),
            "wsgi.url_scheme": "http",
        }
        # Each call is made to another daemon.
        application = front.Front(self.engine).app
        b"".join(
            application(environ, lambda status, *_: statuses.append(status))
        )
        return int(statuses[0].split()[0])

    def _lose(self, method, body=b""):
        self.store.is_losing = True
        self.assertEqual(504, self._call(method, body))
        self.store.is_losing = False

    def test_a_late_submission_of_a_cancelled_job_is_not_stored(self):
        self._lose("POST", BODY)
        self.assertEqual(410, self._call("DELETE"))
        self.store.carry_out_late()
        self.assertEqual([], self.store.jobs)
        (message,) = self.engine.announced
        self.assertEqual(messages.CancelStored(JOB_ID, 11), message)

    def test_a_repeated_submission_of_a_cancelled_job_never_runs(self):
        self._lose("POST", BODY)
        self.assertEqual(410, self._call("DELETE"))
        self.assertEqual(503, self._call("POST", BODY))
        self.assertIn("cancelled", self.engine.reasons[-1])
        self.assertEqual([], self.store.jobs)

    def test_a_repeated_submission_of_a_stored_job_is_accepted(self):
        for _ in range(2):
            self.assertEqual(200, self._call("POST", BODY))
        self.assertEqual(200, self._call("POST", BODY))

    def test_a_late_cancellation_of_a_job_stored_meanwhile_counts(self):
        self._lose("DELETE")
        self.assertEqual(200, self._call("POST", BODY))
        self.store.carry_out_late()
        self.assertIn(documents.CANCELS + JOB_ID, self.store.revisions)

    def test_many_cancellations_of_unknown_jobs_are_refused(self):
        numbers = range(front.MAX_EARLY_CANCELS)
        self.engine.state.early_cancels = dict.fromkeys(map(str, numbers))
        self.assertEqual(503, self._call("DELETE"))
        self.assertEqual({}, self.store.revisions)
