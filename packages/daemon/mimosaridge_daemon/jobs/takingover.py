"""What a new owner reads from the store before it begins."""

import dataclasses

from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import reading
from mimosaridge_daemon.jobs import storage
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import storecalls


class StateReading:
    """Reads the state, the workers and what former owners have learned."""

    def __init__(self, store: storage.Store, reader: reading.Reader) -> None:
        self.store = store
        self.reader = reader

    def read(self, token: int) -> bool:
        """Reads the state and the workers; returns whether it succeeded."""
        for prefix, load in (
            (documents.ROOT, self.reader.load_state),
            (storecalls.WORKER_PREFIX, self.reader.load_workers),
        ):
            answer = storage.read_all(self.store, prefix)
            if answer.is_err():
                return _fail(answer.err_value, token)
            page = answer.ok_value
            if prefix == documents.ROOT and page.malformed:
                page = self._read_left_out(page)
            if page is None:
                return _fail("items that a list left out can't be read", token)
            load(page)
        if not self.reader.is_fleet_readable:
            return _fail("the stored fleet can't be decoded", token)
        return True

    def read_run_times(self) -> None:
        """Reads what was learned; without it the declared times count."""
        answer = self.store.call(storecalls.read(documents.RUN_TIMES))
        if answer.is_ok() and answer.ok_value[0] == 200:
            item = storecalls.decode_item(answer.ok_value[1])
            self.reader.load_run_times(item)

    def _read_left_out(self, page: storecalls.Page) -> storecalls.Page | None:
        """Reads alone what a list with unreadable rows may lack.

        Without the fleet and the progress of the listed jobs, a new owner would
        start tasks again.

        Returns:
            The page with these items; None if one can't be read.
        """
        listed = {item.key for item in page.items}
        wanted = [documents.FLEET] + [
            documents.PROGRESS + key.removeprefix(documents.JOBS)
            for key in sorted(listed)
            if key.startswith(documents.JOBS)
        ]
        found = []
        for key in wanted:
            if key in listed:
                continue
            answer = self.store.call(storecalls.read(key))
            if answer.is_err() or answer.ok_value[0] not in (200, 404):
                return None
            status, body = answer.ok_value
            if status == 200:
                found.append(storecalls.decode_item(body))
        return dataclasses.replace(page, items=(*page.items, *found))


def _fail(reason: str, token: int) -> bool:
    telemetry.log("owner-unread", reason=reason, token=token)
    return False
