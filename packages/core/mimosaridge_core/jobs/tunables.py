"""Constants of the job scheduler, with units and sources."""

# Lease asked for, if the platform grants as much: a crashed worker's tasks wait
# for its end; above the 2.5 s that a change of owner takes.
LEASE_S = 4.0
# A worker's steady clock may be this much slow (users' protocol page).
CLOCK_SLOWNESS = 0.02
# Added to the end of a lease before its tasks run elsewhere: timers are late.
LEASE_MARGIN_S = 0.2
# A displaced owner hears of it from some worker within this time: one hold.
DISPLACED_OWNER_S = 2.0
# A hold waits this long for an end, less if the lease is short.
HOLD_WAIT_MS = 1200
# So many holds fit into a lease: one may be lost, the next one renews it.
HOLDS_PER_LEASE = 3
# While answers get lost, holds wait shorter: a lost one hides ends until then.
LOSSY_WAIT_MS = 300
# Answers count as getting lost for this long after a hold had none.
LOSSY_S = 4.0
# Pause before a failed hold is made again; a few attempts fit into a lease.
HOLD_RETRY_S = 0.3
# Pause between looks while ends wait to be stored: the store answers in 10 ms.
UNNOTED_LOOK_S = 0.25
# A start that arrives later than this is refused; calls take milliseconds.
START_WINDOW_MS = 1500
# Pause before a stop without answer is made again.
STOP_RETRY_S = 0.3
# Least time between writes of progress, to group ends into fewer writes.
WRITE_PAUSE_S = 0.08
# A job's first start is stored within this time (pending may be 2 s old).
BEGUN_WRITE_S = 0.3
# Most jobs in one write: the store takes 32 entries; each job needs two, the
# claim one, the fleet two.
JOBS_PER_WRITE = 14
# Finished jobs are kept this much longer than callers may ask for them.
KEEP_MARGIN_S = 20.0
# A worker that fails its calls rests this long before it is used again.
UNHEALTHY_REST_S = 1.0
# Failures in a row after which a worker rests, and its longest rest.
FAILURES_TO_REST = 2
LONGEST_REST_S = 4.0
# Tickets are not used in the last part of their life: a start takes 10 ms.
TICKET_MARGIN_S = 0.05
# Most workers named in one call: the service takes 100, and calls grow longer.
ADVICE_WORKERS = 30
# Calls for advice wait this long beyond their own time before they count lost.
ADVICE_GRACE_S = 0.7
# A step's waiting tasks have their tickets renewed this long before the end.
RENEWAL_LEAD_S = 0.25
# After a failed call for advice another is made after this time.
ADVICE_RETRY_S = 0.2
