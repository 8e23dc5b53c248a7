"""Stand-in of the platform's host list, which lags behind changes."""

import copy
import json
import time

import bottle

from mimosaridge_standins import serving


def build(hosts: list[dict], lag_s: float) -> bottle.Bottle:
    """Returns the HTTP application; changes are visible after `lag_s`."""
    app = bottle.Bottle()
    versions = [(0.0, copy.deepcopy(hosts))]

    def visible_hosts() -> list[dict]:
        now = time.time()
        while len(versions) > 1 and versions[1][0] + lag_s <= now:
            versions.pop(0)
        return versions[0][1]

    @app.get("/v1/hosts")
    def list_hosts() -> str:
        return serving.answer(200, hosts=visible_hosts())

    @app.post("/v1/hosts/<worker_id>")
    def change(worker_id: str) -> str:
        fields = serving.body()
        latest = copy.deepcopy(versions[-1][1])
        for host in latest:
            if host["worker_id"] == worker_id:
                host.update(fields)
        versions.append((time.time(), latest))
        return serving.answer(200)

    return app


def run(listen: str, fleet: str, lag_s: float = 2.0) -> None:
    """Serves the hosts of a JSON fleet file on IP:PORT."""
    with open(fleet, encoding="utf-8") as file:
        hosts = json.load(file)
    serving.serve(listen, build(hosts, lag_s))
