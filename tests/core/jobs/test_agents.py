"""Which daemons call the workers of an availability zone."""

import testtools

from mimosaridge_core.jobs import agents


def _candidates(count, zone="z", cores=1.0):
    return [
        agents.Candidate(f"{zone}-d{number}", zone, cores)
        for number in range(count)
    ]


class AgentsTest(testtools.TestCase):
    def test_agents_are_in_the_zone_of_their_workers(self):
        chosen = agents.choose_agents(
            [*_candidates(3, "a"), *_candidates(3, "b")], {"a": 5, "b": 5}
        )
        self.assertTrue(chosen["a"][0].startswith("a-"))
        self.assertTrue(chosen["b"][0].startswith("b-"))

    def test_strong_machines_come_first(self):
        strong = agents.Candidate("strong", "z", 2.0)
        chosen = agents.choose_agents([*_candidates(5), strong], {"z": 10})
        self.assertEqual(("strong",), chosen["z"])

    def test_the_number_of_agents_follows_the_workers(self):
        workers = 2 * agents.WORKERS_PER_AGENT + 1
        chosen = agents.choose_agents(_candidates(9), {"z": workers})
        self.assertEqual(3, len(chosen["z"]))

    def test_a_zone_without_daemons_has_no_agent(self):
        chosen = agents.choose_agents(_candidates(2, "a"), {"b": 7})
        self.assertEqual((), chosen["b"])
        self.assertIsNone(agents.agent_of("w1", chosen["b"]))

    def test_workers_keep_their_agents_when_another_is_lost(self):
        names = ("d0", "d1", "d2", "d3")
        workers = [f"w{number}" for number in range(200)]
        before = {name: agents.agent_of(name, names) for name in workers}
        after = {name: agents.agent_of(name, names[1:]) for name in workers}
        for name in workers:
            if before[name] != "d0":
                self.assertEqual(before[name], after[name])
