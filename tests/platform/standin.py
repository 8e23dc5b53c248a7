"""A stand-in for the users' platform: store, workers and advice service.

One process serves the users' published protocol over HTTP on loopback
addresses. Run it as a program: `python standin.py IP STORE_PORT`. Tests add
workers, inject faults and query starts under /test/.
"""

from gevent import monkey

monkey.patch_all()

import base64  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import bottle  # noqa: E402
import gevent  # noqa: E402
from gevent import pywsgi  # noqa: E402

STARTED_AT = time.monotonic()
POLL_INTERVAL_S = 0.005
# The largest value of the users' store is 1 MB, and more when encoded.
bottle.BaseRequest.MEMFILE_MAX = 4_000_000


def clock_ms():
    """Returns the workers' clock in milliseconds."""
    return int((time.monotonic() - STARTED_AT) * 1000) + 1000


class Store:
    """The key-value store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.leases = {}
        self.mode = "up"

    def put(self, key, value, lease=0):
        created = self.items.get(key, {}).get("createdRevision", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "createdRevision": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def transact(self, body):
        rows = body.get("expectedRevision", [])
        now = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in rows
        ]
        pairs = zip(rows, now, strict=True)
        if any(row["revision"] != item["revision"] for row, item in pairs):
            return 412, {"items": now}
        self.revision += 1
        for row in body.get("writes", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def expire(self):
        while True:
            gevent.sleep(0.1)
            for lease, (expires_at, _) in list(self.leases.items()):
                if time.monotonic() > expires_at:
                    del self.leases[lease]
                    self.revision += 1
                    for key, item in list(self.items.items()):
                        if item["lease"] == lease:
                            self.remove(key)


class Worker:
    """A worker.

    Attributes:
        token: Highest fencing token received.
        born: Start of its process, Unix milliseconds.
        lease_until_ms: End of the lease on the workers' clock.
        running: End times in milliseconds by task and run.
        ended: Ended runs that are not yet acknowledged.
        ended_count: Number of ended runs; numbers the entries of `ended`.
        last_closed_run: The highest closed run by task.
        starts: Tasks in the order in which they were started.
        overlaps: Tasks that were started while they ran on some worker.
        silent_until: Monotonic time until which requests are delayed.
    """

    def __init__(self, name, cpu):
        self.name = name
        self.cpu = cpu
        self.token = 0
        self.born = int(time.time() * 1000)
        self.lease_until_ms = 0
        self.running = {}
        self.ended = []
        self.ended_count = 0
        self.last_closed_run = {}
        self.starts = []
        self.overlaps = []
        self.silent_until = 0.0

    def wait_while_silent(self):
        """Delays a request until the worker is no longer silent."""
        while time.monotonic() < self.silent_until:
            gevent.sleep(POLL_INTERVAL_S)

    def advance(self):
        now = clock_ms()
        for key, ends_ms in list(self.running.items()):
            if now >= self.lease_until_ms:
                self.end(key, "lapsed")
            elif now >= ends_ms:
                self.end(key, "done")

    def end(self, key, reason):
        del self.running[key]
        self.ended_count += 1
        self.last_closed_run[key[0]] = max(
            key[1], self.last_closed_run.get(key[0], 0)
        )
        self.ended.append([self.ended_count, key[0], key[1], reason, ""])

    def fenced(self, body):
        if body.get("fencingToken", 0) < self.token:
            return True
        self.token = body["fencingToken"]
        return False


store = Store()
workers = {}
app = bottle.Bottle()


def respond(status, fields):
    bottle.response.status = status
    bottle.response.content_type = "application/json"
    return json.dumps(fields)


def is_down():
    return store.mode != "up"


@app.get("/v1/kv-key")
def read_key():
    if is_down():
        return respond(503, {})
    item = store.items.get(bottle.request.query.key)
    if item is None:
        return respond(404, {"atRevision": store.revision})
    return respond(200, item | {"atRevision": store.revision})


@app.get("/v1/kv-range")
def read_range():
    if is_down():
        return respond(503, {})
    prefix = bottle.request.query.prefix
    after = bottle.request.query.after
    keys = sorted(k for k in store.items if k.startswith(prefix) and k > after)
    items = [store.items[key] for key in keys[:50]]
    return respond(
        200,
        {
            "items": items,
            "hasMore": len(keys) > 50,
            "atRevision": store.revision,
        },
    )


@app.get("/v1/kv-watch")
def watch():
    query = bottle.request.query
    after = int(query.after)
    deadline = time.monotonic() + int(query.waitMs) / 1000
    while True:
        if is_down():
            return respond(503, {})
        found = [
            event
            for event in store.events
            if event["revision"] > after
            and event["key"].startswith(query.prefix)
        ]
        if found or time.monotonic() > deadline:
            fields = {"events": found, "atRevision": store.revision}
            return respond(200, fields)
        gevent.sleep(POLL_INTERVAL_S)


@app.post("/v1/kv-txn")
def transact():
    if is_down():
        return respond(503, {})
    return respond(*store.transact(bottle.request.json))


@app.post("/v1/kv-lease")
def grant():
    if is_down():
        return respond(503, {})
    ttl_ms = bottle.request.json["ttlMs"]
    store.revision += 1
    lease = store.revision
    store.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
    return respond(200, {"lease": lease, "ttlMs": ttl_ms})


@app.post("/v1/kv-keep/<lease:int>")
def keep(lease):
    if is_down():
        return respond(503, {})
    if lease not in store.leases:
        return respond(404, {})
    _, ttl_ms = store.leases[lease]
    store.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
    return respond(200, {"ttlMs": ttl_ms})


@app.post("/v1/advise")
def advise():
    body = bottle.request.json
    good = [[name, f"t-{name}"] for name in body["workers"]]
    return respond(200, {"good": good, "validityMs": 2000})


@app.post("/test/worker")
def add_worker():
    fields = bottle.request.json
    worker = Worker(fields["name"], fields["cpu"])
    workers[worker.name] = worker
    ip, port = fields["address"].split(":")
    server = pywsgi.WSGIServer((ip, int(port)), worker_app(worker), log=None)
    server.start()
    entry = {
        "service": fields["service"],
        "address": fields["address"],
        "zone": fields["zone"],
        "state": "ready",
        "capacity": {
            "cpu": fields["cpu"],
            "memoryRequestMb": 65536,
            "gpus": 0,
        },
        "labels": ["a", "r1"],
        "born": worker.born,
        "sequence": 1,
    }
    store.revision += 1
    value = base64.b64encode(json.dumps(entry).encode()).decode()
    store.put(f"servers/{worker.name}", value)
    return respond(200, {})


@app.post("/test/put")
def put():
    fields = bottle.request.json
    store.revision += 1
    value = base64.b64encode(json.dumps(fields["value"]).encode()).decode()
    store.put(fields["key"], value)
    return respond(200, {})


@app.post("/test/mode")
def set_mode():
    store.mode = bottle.request.json["mode"]
    return respond(200, {})


@app.post("/test/silence")
def silence():
    fields = bottle.request.json
    worker = workers[fields["name"]]
    worker.silent_until = time.monotonic() + fields["seconds"]
    return respond(200, {})


@app.get("/test/starts")
def starts():
    return respond(
        200,
        {
            name: {"starts": worker.starts, "overlaps": worker.overlaps}
            for name, worker in workers.items()
        },
    )


def worker_app(worker):
    """Returns the HTTP application of a worker."""
    routes = bottle.Bottle()

    @routes.post("/v1/hold")
    def hold():
        body = bottle.request.json
        worker.wait_while_silent()
        worker.advance()
        if worker.fenced(body):
            return respond(409, {"clockMs": clock_ms(), "reason": "fence"})
        worker.lease_until_ms = max(
            worker.lease_until_ms, body.get("deadlineMs", 0)
        )
        seen = body.get("lastSeen", 0)
        worker.ended = [row for row in worker.ended if row[0] > seen]
        deadline = time.monotonic() + body.get("waitMs", 0) / 1000
        while not worker.ended and time.monotonic() < deadline:
            gevent.sleep(POLL_INTERVAL_S)
            worker.advance()
        running = [[task, run, "", 100] for task, run in worker.running]
        return respond(
            200,
            {
                "clockMs": clock_ms(),
                "born": worker.born,
                "running": running,
                "ended": worker.ended,
            },
        )

    @routes.post("/v1/run-start")
    def start():
        body = bottle.request.json
        worker.wait_while_silent()
        worker.advance()
        now = {"clockMs": clock_ms()}
        key = (body["task"], body["run"])
        if worker.fenced(body):
            return respond(409, now | {"reason": "fence"})
        if key in worker.running:
            return respond(200, now)
        if body["run"] <= worker.last_closed_run.get(body["task"], 0):
            return respond(409, now | {"reason": "old"})
        if clock_ms() > body["deadlineMs"]:
            return respond(409, now | {"reason": "late"})
        for other in workers.values():
            other.advance()
            if any(task == body["task"] for task, _ in other.running):
                worker.overlaps.append(body["task"])
        run_ms = int(body["taskSpec"])
        worker.lease_until_ms = max(worker.lease_until_ms, body["deadlineMs"])
        worker.running[key] = clock_ms() + run_ms
        worker.starts.append(body["task"])
        return respond(200, now)

    @routes.post("/v1/run-stop")
    def stop():
        body = bottle.request.json
        worker.wait_while_silent()
        worker.advance()
        if worker.fenced(body):
            return respond(409, {"clockMs": clock_ms(), "reason": "fence"})
        key = (body["task"], body["run"])
        worker.last_closed_run[key[0]] = max(
            key[1], worker.last_closed_run.get(key[0], 0)
        )
        if key in worker.running:
            worker.end(key, "stopped")
        return respond(200, {"clockMs": clock_ms()})

    return routes


def main():
    ip, port = sys.argv[1:]
    gevent.spawn(store.expire)
    pywsgi.WSGIServer((ip, int(port)), app, log=None).serve_forever()


if __name__ == "__main__":
    main()
