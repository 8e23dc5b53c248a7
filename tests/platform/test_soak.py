"""A short run of the fault soak; each seed that ever failed is a case here."""

import pytest
import soak

# The run in CI is shorter than one by hand, seconds.
PLAY_S = 5.0
NETWORK = 150


@pytest.mark.parametrize("seed", [1, 2])
def test_a_seed_breaks_no_rule(seed, tmp_path, worker_id):
    offset = int(worker_id.removeprefix("gw")) if "gw" in worker_id else 0
    verdict = soak.play(seed, NETWORK + offset * 4 + seed, tmp_path, PLAY_S)
    assert verdict.problems == []
    assert verdict.accepted
