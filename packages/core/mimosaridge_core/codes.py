"""Numbered result codes; docs/RESULT-CODES.md is checked against them."""

import enum


class Code(enum.IntEnum):
    """The outcome of a request, job, plan or decision."""

    OK = 0
    ACCEPTED = 1
    NOT_RUN = 100
    DEADLINE_PASSED = 101
    OVERLOADED = 102
    IMPOSSIBLE = 103
    CANCELLED = 105
    UNKNOWN = 200
    TASK_FAILED = 201
    ANSWER_NOT_KEPT = 202
    MOVED = 203
    BAD_INPUT = 300
    TOO_LARGE = 301
    BAD_KEY = 302
    WRONG_TEAM = 303
    NOT_ALLOWED = 304
    NOT_FOUND = 305
    ID_EXPIRED = 306
    ID_TAKEN = 307
    DRAINING = 308
    STALE_CONFIG = 309
    CONFLICT = 400
    PLAN_EXPIRED = 401
    STORE_UNAVAILABLE = 402
    STALE_EPOCH = 500
    NO_ROOM = 501
    WORKER_UNREACHABLE = 502
    OVER_LIMIT = 503
    PREEMPTED = 504


MEANINGS: dict[Code, str] = {
    Code.OK: "It was done.",
    Code.ACCEPTED: "It was accepted and recorded; it will run.",
    Code.NOT_RUN: "It did not run; it may be sent again under a new id.",
    Code.DEADLINE_PASSED: (
        "It did not run: its deadline passed before it could start; send it"
        " again under a new id with a later deadline."
    ),
    Code.OVERLOADED: (
        "It did not run: too much work is waiting; send it again later under"
        " a new id."
    ),
    Code.IMPOSSIBLE: (
        "It did not run: no worker could ever hold it; ask for less."
    ),
    Code.DRAINING: (
        "This daemon is shutting down and did not take it; send it to another"
        " under the same id."
    ),
    Code.CANCELLED: "It was cancelled by its team or an operator.",
    Code.STALE_CONFIG: (
        "This daemon can't tell whether its configuration is still the latest"
        " and did not take it; send it to another under the same id."
    ),
    Code.UNKNOWN: (
        "It was sent to a worker and its fate can't be proved; check the"
        " effect before sending it again."
    ),
    Code.TASK_FAILED: "It ran and failed; the detail carries the reason.",
    Code.MOVED: "It was stopped, to start again on another worker.",
    Code.ANSWER_NOT_KEPT: (
        "It ran and ended well; its answer was too large to be kept for a"
        " later call."
    ),
    Code.BAD_INPUT: "The input is malformed; the detail names each field.",
    Code.TOO_LARGE: "The input is larger than this daemon takes.",
    Code.BAD_KEY: "The key is missing, unknown or withdrawn.",
    Code.WRONG_TEAM: "The key belongs to another team.",
    Code.NOT_ALLOWED: "The key's role does not allow this.",
    Code.NOT_FOUND: "There is no such thing.",
    Code.ID_EXPIRED: (
        "This call did not start it: its id is older than outcomes are kept;"
        " what became of an earlier call with this id is no longer known."
    ),
    Code.ID_TAKEN: (
        "This call did not start it: other work has the same id; send it"
        " under a new id."
    ),
    Code.CONFLICT: (
        "Another change came first; ask for a new plan and confirm that."
    ),
    Code.PLAN_EXPIRED: "The plan has expired; ask for a new one.",
    Code.STORE_UNAVAILABLE: (
        "The platform's store does not answer; nothing was changed as far"
        " as is known; ask for a new plan to see."
    ),
    Code.STALE_EPOCH: "A newer owner has claimed the worker.",
    Code.NO_ROOM: "The worker has no room for it.",
    Code.WORKER_UNREACHABLE: "The worker does not answer.",
    Code.PREEMPTED: (
        "It was stopped with a checkpoint for more urgent work; it goes on"
        " when there is room."
    ),
    Code.OVER_LIMIT: (
        "It was stopped because its team's upper limit was lowered; it starts"
        " again when the limit allows."
    ),
}

# Ends whose answer is a checkpoint from which the next attempt goes on.
GO_ON = (Code.MOVED, Code.PREEMPTED)


def is_not_run(code: Code) -> bool:
    """Tells whether the code promises that the work never ran.

    Work whose outcome is recorded keeps it under its id. The codes from 300
    on speak of one call; they say nothing of others with the same id.
    """
    return 100 <= code < 200
