"""Parameters that all daemons of a deployment share."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Tunables:
    """Intervals in seconds, counts and sizes.

    Attributes:
        heartbeat_s: Interval between heartbeats to each peer.
        team_use_interval_s: Interval between heartbeats that report the
            resource use of all teams.
        member_timeout_s: Time without a heartbeat after which a peer is
            considered dead.
        store_lease_s: Time to live of the daemon's lease in the store.
        settle_s: How long membership must be unchanged before partitions
            move.
        resend_s: Delay before an unanswered message is sent again.
        rebalance_s: How long a task waits in a shard without room before it
            returns to its home if another shard has room.
        hold_wait_s: How long a gang's task waits for room to be reserved.
        hold_s: How long room is reserved for a gang.
        gang_hold_s: As hold_s, where workers are drained for gangs.
        worker_lease_s: Time to live of a worker's task leases.
        worker_poll_s: Maximum duration of a call that keeps renewing a
            worker's leases.
        lease_margin_s: Safety margin before a lease is considered expired.
        flush_s: Minimum time between two writes of one ledger.
        outcome_flush_s: Additional delay of a ledger write that nobody waits
            for.
        retention_s: How long outcomes are kept.
        archive_interval_s: Minimum time between two pages that one bucket
            archives.
        account_retention_s: How long accounts of settled work are kept.
        answer_retention_s: How long full answers that are too large for the
            ledger are kept.
        outcome_wait_s: How long after its work's deadline a caller waits for
            the work's outcome to be known.
        skew_s: Maximum difference between hosts' clocks.
        buckets: Number of ledgers.
        ledger_bytes: Body bytes in one ledger above which it refuses work.
        queue_limit: Maximum number of tasks that wait in one shard.
        attempts: Maximum number of attempts at a failing batch task.
        start_timeout_s: How long a start message may take to reach its
            worker.
        moves_per_s: Tasks per second that one shard stops to move them.
        move_timeout_s: How long a moved task may wait for its next start.
        drain_timeout_s: How long a shutdown waits for a store that does not
            answer.
        stale_config_s: Time without confirmation that the configuration is
            the latest, after which nothing is started while peers may have
            confirmation.
        plan_lifetime_s: Time within which a plan may be confirmed.
    """

    heartbeat_s: float = 0.5
    team_use_interval_s: float = 3.0
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
    archive_interval_s: float = 2.0
    account_retention_s: float = 7 * 86_400.0
    answer_retention_s: float = 60.0
    outcome_wait_s: float = 10.0
    skew_s: float = 1.0
    buckets: int = 16
    ledger_bytes: int = 700_000
    queue_limit: int = 20_000
    attempts: int = 3
    start_timeout_s: float = 2.0
    moves_per_s: float = 20.0
    move_timeout_s: float = 600.0
    drain_timeout_s: float = 5.0
    stale_config_s: float = 5.0
    plan_lifetime_s: float = 120.0
