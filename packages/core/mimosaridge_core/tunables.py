"""Numbers that all daemons of a deployment share."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Tunables:
    """Intervals in seconds, counts and sizes.

    Attributes:
        heartbeat_s: Between heartbeats to each peer.
        teams_s: Between heartbeats that tell what teams use.
        member_timeout_s: Silence after which a peer counts as gone.
        store_lease_s: Life of the daemon's lease in the store.
        settle_s: How long membership must stand before partitions move.
        resend_s: Before an unanswered message is sent again.
        rebalance_s: How long a task waits in a shard without room before it
            goes back to its home if another shard has room.
        hold_wait_s: How long a task of an all-at-once job waits for room to
            hold.
        hold_s: How long room is held for an all-at-once job.
        gang_hold_s: As hold_s, where workers are drained for such jobs.
        worker_lease_s: Life of a worker's task leases.
        worker_poll_s: Longest call that keeps a worker's leases renewed.
        lease_margin_s: Added before a lease counts as surely ended.
        flush_s: Least time between two writes of one ledger.
        outcome_flush_s: How much longer a ledger that nobody waits for may
            stay unwritten.
        retention_s: How long outcomes are kept.
        archive_s: Least time between two pages that one bucket archives.
        account_s: How long accounts of settled work are kept.
        answer_s: How long whole answers are kept that no ledger holds.
        proof_s: After its deadline, how long a caller is kept waiting for
            proof of what became of its work.
        skew_s: Largest difference between hosts' clocks.
        buckets: Number of ledgers.
        ledger_bytes: Body bytes that one ledger takes before it refuses work.
        queue_limit: Tasks that may wait in one shard.
        attempts: Most attempts at a failing batch task.
        start_s: How long a start may travel to its worker.
        moves_per_s: Tasks that one shard stops for a move in a second.
        move_s: How long a moved task may wait for its next start.
        drain_s: How long a shutdown waits for a store that is silent.
        stale_config_s: Without word of the configuration, after which
            nothing is started while peers have word.
        plan_s: Life of a plan.
    """

    heartbeat_s: float = 0.5
    teams_s: float = 3.0
    member_timeout_s: float = 2.5
    store_lease_s: float = 6.0
    settle_s: float = 1.0
    resend_s: float = 1.0
    rebalance_s: float = 0.3
    hold_wait_s: float = 2.0
    hold_s: float = 5.0
    gang_hold_s: float = 20.0
    worker_lease_s: float = 20.0
    worker_poll_s: float = 5.0
    lease_margin_s: float = 2.0
    flush_s: float = 0.03
    outcome_flush_s: float = 0.3
    retention_s: float = 600.0
    archive_s: float = 2.0
    account_s: float = 7 * 86_400.0
    answer_s: float = 60.0
    proof_s: float = 10.0
    skew_s: float = 1.0
    buckets: int = 16
    ledger_bytes: int = 700_000
    queue_limit: int = 20_000
    attempts: int = 3
    start_s: float = 2.0
    moves_per_s: float = 20.0
    move_s: float = 600.0
    drain_s: float = 5.0
    stale_config_s: float = 5.0
    plan_s: float = 120.0
