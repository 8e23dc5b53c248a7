"""Counters, gauges and timers sent to a statsd server."""

import statsd


class Metrics:
    """Sends metrics; discards them if no server is configured."""

    def __init__(self, address: str, daemon: str) -> None:
        self.client = None
        if address:
            host, _, port = address.rpartition(":")
            prefix = f"mimosaridge.{daemon}"
            self.client = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter."""
        if self.client:
            self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self.client:
            self.client.gauge(name, value)

    def time_ms(self, name: str, value_ms: float) -> None:
        """Reports a duration in milliseconds."""
        if self.client:
            self.client.timing(name, value_ms)
