"""What callers get while more is asked for than fits."""

import math
import random

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import ranking
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 10, 0)
WORK_S = 0.5
STRETCH, TARGET_S = 2.0, 1.0
OBJECTIVE_S = STRETCH * WORK_S + TARGET_S
LONGEST_USEFUL_S = ranking.USEFUL_OBJECTIVES * OBJECTIVE_S


def _flood(seed):
    """Plays a flood of three times what fits, then half of what fits.

    Returns:
        The cluster, and the times from submission to completion by job.
    """
    world = jobclusters.Cluster(daemons=1, workers=5, seed=seed)
    world.configure(world.configuration(2, stretch=STRETCH, target_s=TARGET_S))
    world.claim(0)
    world.run(1.0)
    rng = random.Random(seed)
    submitted, took = {}, {}
    begun = world.now
    while world.now < begun + 40.0:
        fits_per_s = 5 * 4 / (2 * WORK_S)
        is_flood = world.now < begun + 6.0
        is_over = world.now > begun + 20.0
        per_s = 0.0 if is_over else fits_per_s * (3.0 if is_flood else 0.5)
        if rng.random() < per_s * jobclusters.TICK_S:
            job_id = f"j{len(submitted)}"
            world.submit(job_id, model.Step(2, CORE, WORK_S))
            submitted[job_id] = world.now
        world.run(jobclusters.TICK_S)
        for job_id, at in submitted.items():
            if job_id not in took and (
                world.state_of(job_id) == model.JobState.COMPLETED
            ):
                took[job_id] = world.now - at
    return world, submitted, took


class FloodTest(testtools.TestCase):
    """Late work that callers still use goes before work that they don't."""

    def _useful(self):
        useful = 0
        for seed in range(3):
            world, submitted, took = _flood(seed)
            self.assertEqual([], world.violations)
            # Everything that was accepted completes.
            self.assertEqual(submitted.keys(), took.keys())
            useful += sum(each <= LONGEST_USEFUL_S for each in took.values())
        return useful

    def test_after_a_flood_late_work_is_done_while_callers_use_it(self):
        useful = self._useful()
        # In the order of their age, all late jobs become useless in turn.
        self.patch(ranking, "USEFUL_OBJECTIVES", math.inf)
        self.assertGreater(useful, self._useful())
