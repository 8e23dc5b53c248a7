"""A stand-in of the users' platform: store, workers, advice, in one process.

It speaks the users' published protocol over HTTP on loopback addresses. Run it
as a program: `python standin.py IP STORE_PORT`. Workers are added, crashed and
asked about under /test/.
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

BEGAN = time.monotonic()
NO_DELAY_S = 0.005


def clock_ms():
    """Returns the workers' clock."""
    return int((time.monotonic() - BEGAN) * 1000) + 1000


class Store:
    """The key-value service."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.leases = {}
        self.mode = "up"

    def put(self, key, value, lease=0):
        made = self.items.get(key, {}).get("createdRevision", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "createdRevision": made,
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
            for lease, (ends, _) in list(self.leases.items()):
                if time.monotonic() > ends:
                    del self.leases[lease]
                    self.revision += 1
                    for key, item in list(self.items.items()):
                        if item["lease"] == lease:
                            self.remove(key)


class Worker:
    """One worker."""

    def __init__(self, name, cpu):
        self.name = name
        self.cpu = cpu
        self.token = 0
        self.until = 0
        self.running = {}
        self.ended = []
        self.count = 0
        self.closed = {}
        self.starts = []
        self.overlaps = []
        self.silent_until = 0.0

    def hear(self):
        """Lets a call wait while the worker is silent; it comes late."""
        while time.monotonic() < self.silent_until:
            gevent.sleep(NO_DELAY_S)

    def advance(self):
        now = clock_ms()
        for key, ends in list(self.running.items()):
            if now >= self.until:
                self.end(key, "lapsed")
            elif now >= ends:
                self.end(key, "done")

    def end(self, key, how):
        del self.running[key]
        self.count += 1
        self.closed[key[0]] = max(key[1], self.closed.get(key[0], 0))
        self.ended.append([self.count, key[0], key[1], how, ""])

    def fenced(self, body):
        if body.get("fencingToken", 0) < self.token:
            return True
        self.token = body["fencingToken"]
        return False


store = Store()
workers = {}
app = bottle.Bottle()


def answer(status, fields):
    bottle.response.status = status
    bottle.response.content_type = "application/json"
    return json.dumps(fields)


def is_down():
    return store.mode != "up"


@app.get("/v1/kv-key")
def read_key():
    if is_down():
        return answer(503, {})
    item = store.items.get(bottle.request.query.key)
    if item is None:
        return answer(404, {"atRevision": store.revision})
    return answer(200, item | {"atRevision": store.revision})


@app.get("/v1/kv-range")
def read_range():
    if is_down():
        return answer(503, {})
    prefix = bottle.request.query.prefix
    after = bottle.request.query.after
    keys = sorted(k for k in store.items if k.startswith(prefix) and k > after)
    items = [store.items[key] for key in keys[:50]]
    return answer(
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
    ends = time.monotonic() + int(query.waitMs) / 1000
    while True:
        if is_down():
            return answer(503, {})
        found = [
            event
            for event in store.events
            if event["revision"] > after
            and event["key"].startswith(query.prefix)
        ]
        if found or time.monotonic() > ends:
            fields = {"events": found, "atRevision": store.revision}
            return answer(200, fields)
        gevent.sleep(NO_DELAY_S)


@app.post("/v1/kv-txn")
def transact():
    if is_down():
        return answer(503, {})
    return answer(*store.transact(bottle.request.json))


@app.post("/v1/kv-lease")
def grant():
    if is_down():
        return answer(503, {})
    ttl_ms = bottle.request.json["ttlMs"]
    store.revision += 1
    lease = store.revision
    store.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
    return answer(200, {"lease": lease, "ttlMs": ttl_ms})


@app.post("/v1/kv-keep/<lease:int>")
def keep(lease):
    if is_down():
        return answer(503, {})
    if lease not in store.leases:
        return answer(404, {})
    _, ttl_ms = store.leases[lease]
    store.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
    return answer(200, {"ttlMs": ttl_ms})


@app.post("/v1/advise")
def advise():
    body = bottle.request.json
    good = [[name, f"t-{name}"] for name in body["workers"]]
    return answer(200, {"good": good, "validityMs": 2000})


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
        "born": int(time.time() * 1000),
        "sequence": 1,
    }
    store.revision += 1
    value = base64.b64encode(json.dumps(entry).encode()).decode()
    store.put(f"servers/{worker.name}", value)
    return answer(200, {})


@app.post("/test/put")
def put():
    fields = bottle.request.json
    store.revision += 1
    value = base64.b64encode(json.dumps(fields["value"]).encode()).decode()
    store.put(fields["key"], value)
    return answer(200, {})


@app.post("/test/mode")
def set_mode():
    store.mode = bottle.request.json["mode"]
    return answer(200, {})


@app.post("/test/silence")
def silence():
    fields = bottle.request.json
    worker = workers[fields["name"]]
    worker.silent_until = time.monotonic() + fields["seconds"]
    return answer(200, {})


@app.get("/test/starts")
def starts():
    return answer(
        200,
        {
            name: {"starts": worker.starts, "overlaps": worker.overlaps}
            for name, worker in workers.items()
        },
    )


def worker_app(worker):
    """Returns the application of one worker."""
    calls = bottle.Bottle()

    @calls.post("/v1/hold")
    def hold():
        body = bottle.request.json
        worker.hear()
        worker.advance()
        if worker.fenced(body):
            return answer(409, {"clockMs": clock_ms(), "reason": "fence"})
        worker.until = max(worker.until, body.get("deadlineMs", 0))
        seen = body.get("lastSeen", 0)
        worker.ended = [row for row in worker.ended if row[0] > seen]
        ends = time.monotonic() + body.get("waitMs", 0) / 1000
        while not worker.ended and time.monotonic() < ends:
            gevent.sleep(NO_DELAY_S)
            worker.advance()
        running = [[task, run, "", 100] for task, run in worker.running]
        return answer(
            200,
            {
                "clockMs": clock_ms(),
                "born": 1,
                "running": running,
                "ended": worker.ended,
            },
        )

    @calls.post("/v1/run-start")
    def start():
        body = bottle.request.json
        worker.hear()
        worker.advance()
        now = {"clockMs": clock_ms()}
        key = (body["task"], body["run"])
        if worker.fenced(body):
            return answer(409, now | {"reason": "fence"})
        if key in worker.running:
            return answer(200, now)
        if body["run"] <= worker.closed.get(body["task"], 0):
            return answer(409, now | {"reason": "old"})
        if clock_ms() > body["deadlineMs"]:
            return answer(409, now | {"reason": "late"})
        for other in workers.values():
            other.advance()
            if any(task == body["task"] for task, _ in other.running):
                worker.overlaps.append(body["task"])
        lasts_ms = int(body["taskSpec"])
        worker.until = max(worker.until, body["deadlineMs"])
        worker.running[key] = clock_ms() + lasts_ms
        worker.starts.append(body["task"])
        return answer(200, now)

    @calls.post("/v1/run-stop")
    def stop():
        body = bottle.request.json
        worker.hear()
        worker.advance()
        if worker.fenced(body):
            return answer(409, {"clockMs": clock_ms(), "reason": "fence"})
        key = (body["task"], body["run"])
        worker.closed[key[0]] = max(key[1], worker.closed.get(key[0], 0))
        if key in worker.running:
            worker.end(key, "stopped")
        return answer(200, {"clockMs": clock_ms()})

    return calls


def main():
    ip, port = sys.argv[1:]
    gevent.spawn(store.expire)
    pywsgi.WSGIServer((ip, int(port)), app, log=None).serve_forever()


if __name__ == "__main__":
    main()
