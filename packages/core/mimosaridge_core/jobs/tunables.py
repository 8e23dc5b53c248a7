"""Constants of the job scheduler, with units and reasons."""

# Lease that is requested if the platform grants as much. Tasks of a crashed
# worker wait for its end; it exceeds the 2.5 s that a change of owner takes.
LEASE_S = 4.0
# Largest fraction by which a worker's steady clock may run slow, as stated in
# the worker protocol.
MAX_CLOCK_DRIFT = 0.02
# Added to the end of a lease before its tasks run elsewhere: timers are late.
LEASE_MARGIN_S = 0.2
# An unanswered call is carried out at most this long after it was sent: the
# worker protocol says "seconds later", the bench's faults 2 to 12 s.
LATE_CALL_S = 12.0
# Longest time that a hold waits for a run to end; shorter if the lease is.
HOLD_WAIT_MS = 1200
# A long poll lasts at most this fraction of a lease, and a lease is renewed
# once this fraction of it has passed, so that it survives the loss of a hold.
HOLDS_PER_LEASE = 3
# Longest wait of a hold while answers get lost: ended runs stay unknown until
# the hold after the lost one.
LOSSY_WAIT_MS = 300
# Longest wait of a hold at a worker whose backfill is paced: workers report the
# tail latencies of the last half second.
SHARED_WAIT_MS = 500
# Time after an unanswered hold during which answers are expected to get lost.
LOSSY_S = 4.0
# Pause before a failed hold is retried; a lease allows for a few retries.
HOLD_RETRY_S = 0.3
# Interval of holds while results wait to be stored; the store answers in 10 ms.
UNSTORED_ENDS_POLL_S = 0.25
# A start that arrives later than this is refused; calls take milliseconds.
START_WINDOW_MS = 1500
# Pause before an unanswered stop is sent again.
STOP_RETRY_S = 0.3
# Shortest time between rounds of writes of progress, to combine ends into fewer
# writes.
WRITE_PAUSE_S = 0.08
# A job's first start is stored within this time; callers may see the job as
# pending for 2 s.
STARTED_WRITE_S = 0.3
# Most jobs in one write: the store takes 32 entries; each job needs two, the
# claim one, the fleet two.
JOBS_PER_WRITE = 14
# Most writes of progress at a time. The owner has 12 connections to the store.
WRITES_PER_ROUND = 4
# Finished jobs are kept for this time beyond the promised one.
KEEP_MARGIN_S = 20.0
# A worker with a failed call gets no starts for this time.
UNHEALTHY_BACKOFF_S = 1.0
# Consecutive failures after which a worker gets no starts for a time, which
# doubles with each further failure up to `MAX_BACKOFF_S`.
FAILURES_BEFORE_BACKOFF = 2
MAX_BACKOFF_S = 4.0
# Largest share of a back end's workers that is suspended for failures; one
# worker at least, but not the only one.
MAX_SUSPENDED_SHARE = 0.25
# Tickets are not used this shortly before they expire: a start takes 10 ms.
TICKET_MARGIN_S = 0.05
# Most workers in one call for advice: the service takes 100, but the duration
# of a call grows with their number.
ADVICE_WORKERS = 30
# Added to the expected duration of a call for advice to get its time-out.
ADVICE_GRACE_S = 0.7
# Tickets of a step with waiting tasks are renewed this long before they expire.
RENEWAL_LEAD_S = 0.25
# Pause after a failed call for advice.
ADVICE_RETRY_S = 0.2
