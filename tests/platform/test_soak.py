"""Short runs of the fault soak; every seed that ever failed is listed."""

import pytest
import soak

# Shorter than the default so that CI stays fast.
LOAD_S = 5.0
NETWORK = 150


@pytest.mark.parametrize("seed", [1, 2])
def test_seed_breaks_no_invariant(seed, tmp_path, worker_id):
    offset = int(worker_id.removeprefix("gw")) if "gw" in worker_id else 0
    result = soak.run_seed(seed, NETWORK + offset * 4 + seed, tmp_path, LOAD_S)
    assert result.problems == []
    assert result.accepted
