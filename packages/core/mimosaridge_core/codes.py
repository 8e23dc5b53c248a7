"""Numbered result codes, documented in docs/RESULT-CODES.md."""

import enum


class Code(enum.IntEnum):
    """The result of a request, job, plan or scheduling decision."""

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
    Code.ACCEPTED: "The work was accepted and recorded; it will run.",
    Code.NOT_RUN: "The work did not run; it may be sent again under a new id.",
    Code.DEADLINE_PASSED: (
        "The work did not run: its deadline passed before it could start; send"
        " it again under a new id with a later deadline."
    ),
    Code.OVERLOADED: (
        "The work did not run: too much work is waiting; send it again later"
        " under a new id."
    ),
    Code.IMPOSSIBLE: (
        "The work did not run: no worker could ever run it; request fewer"
        " resources."
    ),
    Code.DRAINING: (
        "This daemon is shutting down and did not accept the request; send it"
        " to another daemon under the same id."
    ),
    Code.CANCELLED: "The work was cancelled by its team or an operator.",
    Code.STALE_CONFIG: (
        "This daemon can't tell whether its configuration is still the latest"
        " and did not accept the request; send it to another daemon under the"
        " same id."
    ),
    Code.UNKNOWN: (
        "The work was sent to a worker and its outcome is unknown; check its"
        " effects before sending it again."
    ),
    Code.TASK_FAILED: "The work ran and failed; the detail gives the reason.",
    Code.MOVED: "The task was stopped to be restarted on another worker.",
    Code.ANSWER_NOT_KEPT: (
        "The work succeeded, but its answer was too large to be kept for"
        " later calls."
    ),
    Code.BAD_INPUT: (
        "The input is malformed; the detail names each invalid field."
    ),
    Code.TOO_LARGE: "The input is larger than this daemon accepts.",
    Code.BAD_KEY: "The key is missing, unknown or withdrawn.",
    Code.WRONG_TEAM: "The key belongs to another team.",
    Code.NOT_ALLOWED: "The key's role does not allow this.",
    Code.NOT_FOUND: "The requested object does not exist.",
    Code.ID_EXPIRED: (
        "This call did not start the work: its id is older than the retention"
        " period of outcomes, so the outcome of an earlier call with this id is"
        " no longer known."
    ),
    Code.ID_TAKEN: (
        "This call did not start the work: other work has the same id; send it"
        " under a new id."
    ),
    Code.CONFLICT: (
        "Another change was applied first; request a new plan and confirm it."
    ),
    Code.PLAN_EXPIRED: "The plan has expired; request a new one.",
    Code.STORE_UNAVAILABLE: (
        "The platform's store does not answer; no change is known to have been"
        " made; request a new plan to check."
    ),
    Code.STALE_EPOCH: "A newer owner has claimed the worker.",
    Code.NO_ROOM: "The worker does not have enough free capacity for the task.",
    Code.WORKER_UNREACHABLE: "The worker does not answer.",
    Code.PREEMPTED: (
        "The task was stopped with a checkpoint to make room for more urgent"
        " work; it resumes when there is room."
    ),
    Code.OVER_LIMIT: (
        "The task was stopped because its team's upper limit was lowered; it"
        " restarts when the limit allows."
    ),
}

# The answer of such an attempt is a checkpoint that the next one resumes from.
RESUMABLE = (Code.MOVED, Code.PREEMPTED)


def is_not_run(code: Code) -> bool:
    """Returns whether the code guarantees that the work never ran.

    These codes are recorded as the final outcome of the work's id. Codes from
    300 on concern a single call and say nothing about other calls with the
    same id.
    """
    return 100 <= code < 200
