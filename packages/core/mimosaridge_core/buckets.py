"""Mapping of work to buckets and to the daemons responsible for them."""

from mimosaridge_core import hashing
from mimosaridge_core import settling
from mimosaridge_core import state
from mimosaridge_core import works

PREFIX = "bucket-"


def bucket_name(position: int) -> str:
    """Returns the name of the bucket at a position."""
    return f"{PREFIX}{position:02d}"


def bucket_of(st: state.State, work_id: str) -> str:
    """Returns the bucket that is responsible for some work."""
    return bucket_name(hashing.stable_hash(work_id) % st.tuning.buckets)


def home_of(st: state.State, work: works.Work) -> str:
    """Returns the home of work that is submitted to this daemon.

    The home is this daemon for idempotent requests, else a bucket.
    """
    if work.kind == works.Kind.REQUEST and work.idempotent:
        return st.name
    return bucket_of(st, work.work_id)


def owner_of(st: state.State, home: str) -> str:
    """Returns the daemon responsible for a home; empty if unknown."""
    return settling.home_daemon(st, home)
