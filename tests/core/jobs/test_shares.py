"""Shares of teams that compete for too little room."""

import random

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import shares
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 10, 0)
WORK_S = 0.5
OBJECTIVE_S = 2.0
FITS_PER_S = 10 * 4 / (2 * WORK_S)


def _play(rates, weights, seed=0, seconds=15.0):
    """Submits jobs of teams at their rates, as shares of what fits.

    Returns:
        The cluster, and by team the share of its jobs that were in time.
    """
    world = jobclusters.Cluster(daemons=1, workers=10, seed=seed)
    queue = model.Queue(
        jobclusters.QUEUE, "host", "/q/", "registry", 0, 3, 2.0, 1.0
    )
    teams = {
        name: model.Team(name, weight, resources.ZERO, (name,))
        for name, weight in weights.items()
    }
    keys = {name: name for name in weights}
    world.configure(model.Configuration(2, {queue.name: queue}, teams, keys))
    world.claim(0)
    world.run(1.0)
    rng = random.Random(seed)
    submitted, took = {}, {}
    begun = world.now
    while world.now < begun + seconds + OBJECTIVE_S:
        for team, rate in rates.items():
            is_over = world.now > begun + seconds
            chance = rate * FITS_PER_S * jobclusters.TICK_S
            while not is_over and rng.random() < chance:
                job_id = f"{team}-{len(submitted)}"
                step = model.Step(2, CORE, WORK_S)
                world.submit(job_id, step, team=team)
                submitted[job_id] = world.now
                chance -= 1
        world.run(jobclusters.TICK_S)
        for job_id, at in submitted.items():
            is_done = world.state_of(job_id) == model.JobState.COMPLETED
            if job_id not in took and is_done:
                took[job_id] = world.now - at
    in_time = {}
    for team in rates:
        own = [job_id for job_id in submitted if job_id.startswith(team)]
        kept = sum(took.get(job_id, 99.0) <= OBJECTIVE_S for job_id in own)
        in_time[team] = kept / len(own)
    return world, in_time


class SharesTest(testtools.TestCase):
    """What each team's callers get."""

    def test_a_flood_of_one_team_costs_that_team(self):
        weights = {"calm": 100.0, "steady": 100.0, "flood": 100.0}
        rates = {"calm": 0.2, "steady": 0.25, "flood": 1.5}
        world, in_time = _play(rates, weights)
        self.assertEqual([], world.violations)
        self.assertGreater(in_time["calm"], 0.95)
        self.assertGreater(in_time["steady"], 0.95)
        self.patch(shares, "shortage", lambda *_: model.NO_SHORTAGE)
        _, without = _play(rates, weights)
        self.assertLess(without["calm"], 0.8)

    def test_an_idle_share_is_used_by_others(self):
        weights = {"small": 1000.0, "large": 10.0}
        rates = {"small": 0.05, "large": 0.8}
        world, in_time = _play(rates, weights)
        self.assertEqual([], world.violations)
        self.assertGreater(in_time["large"], 0.95)

    def test_shares_follow_the_weights(self):
        weights = {"one": 100.0, "three": 300.0}
        world, in_time = _play({"one": 1.0, "three": 1.0}, weights)
        self.assertEqual([], world.violations)
        self.assertGreater(in_time["three"], 1.5 * in_time["one"])


class ShortageTest(testtools.TestCase):
    """Where teams yield."""

    def test_nobody_yields_while_all_can_be_in_time(self):
        world, _ = _play({"a": 0.3, "b": 0.1}, {"a": 1.0, "b": 100.0})
        daemon = world.daemons[0]
        self.assertLess(0.0, daemon.owner.shortage_at)
        self.assertEqual(model.NO_SHORTAGE, daemon.owner.shortage)

    def test_without_use_or_weights_no_team_is_above_its_share(self):
        world, _ = _play({"a": 0.1}, {"a": 0.0}, seconds=1.0)
        daemon = world.daemons[0]
        above = shares.teams_above_share(daemon, daemon.owner, [])
        self.assertEqual(frozenset(), above)
