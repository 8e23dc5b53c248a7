"""Settings of a daemon; flags override environment variables."""

import dataclasses
import inspect
import ipaddress

import pydantic
import pydantic_settings

ENV_PREFIX = "MIMOSARIDGE_"


class InvalidError(Exception):
    """Raised for invalid settings; the message lists every problem."""


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon:
        raise ValueError("must have the form IP:PORT")
    ipaddress.ip_address(host)
    if not 0 < int(port) < 65536:
        raise ValueError("the port must be between 1 and 65535")
    return value


def _check_url(value: str) -> str:
    if not value.startswith("http://"):
        raise ValueError("must have the form http://IP:PORT")
    return value.rstrip("/")


class Settings(pydantic_settings.BaseSettings):
    """Settings of a daemon.

    Attributes:
        name: Name of the daemon, unique in the deployment.
        zone: Availability zone of the daemon.
        listen_http: IP:PORT of the HTTP API for callers and operators.
        listen_peer: IP:PORT for connections of other daemons.
        store_url: URL of the platform's key-value store.
        hosts_url: URL of the platform's host list.
        peer_secret: Shared secret of all daemons of the deployment.
        bootstrap_key: Operator token, valid until an operator key is granted.
        statsd: IP:PORT of the statsd server; empty to send no metrics.
        log_level: Lowest severity that is logged.
        largest_body: Maximum size of a request body, in bytes.
        seed: Seed of the random number generator; 0 seeds it from the system.
        record: File to record events to; empty to record none.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENV_PREFIX, extra="forbid"
    )

    name: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    zone: str = pydantic.Field(min_length=1, max_length=63)
    listen_http: str
    listen_peer: str
    store_url: str
    hosts_url: str
    peer_secret: str = pydantic.Field(min_length=8)
    bootstrap_key: str = ""
    statsd: str = ""
    log_level: str = pydantic.Field(
        "INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )
    largest_body: int = pydantic.Field(1_000_000, ge=1024, le=16_000_000)
    seed: int = pydantic.Field(0, ge=0)
    record: str = ""

    check_addresses = pydantic.field_validator("listen_http", "listen_peer")(
        _check_address
    )
    check_urls = pydantic.field_validator("store_url", "hosts_url")(_check_url)


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """Documentation of a setting.

    Attributes:
        name: Name of the setting and of its flag.
        variable: Environment variable.
        default: Default value; "required" if there is none.
        meaning: Description of the setting.
    """

    name: str
    variable: str
    default: str
    meaning: str


def describe() -> list[Description]:
    """Returns the descriptions of all settings in declaration order."""
    meanings = dict(
        line.strip().split(": ", 1)
        for line in inspect.getdoc(Settings).splitlines()
        if ": " in line
    )
    return [
        Description(
            name,
            ENV_PREFIX + name.upper(),
            "required" if field.is_required() else str(field.default),
            meanings[name],
        )
        for name, field in Settings.model_fields.items()
    ]


def usage() -> str:
    """Returns the help text."""
    lines = [
        "mimosaridged: the daemon of an entry host; drains on SIGTERM.",
        "Each setting is given as a flag or an environment variable:",
    ]
    for item in describe():
        default = f" [{item.default}]" if item.default else ""
        lines.append(f"  --{item.name}=... or {item.variable}{default}")
        lines.append(f"      {item.meaning}")
    return "\n".join(lines)


def load(flags: dict[str, object]) -> Settings:
    """Loads the settings from flags and environment variables.

    Raises:
        InvalidError: One or more settings are invalid.
    """
    values = {name: str(value) for name, value in flags.items()}
    try:
        return Settings(**values)
    except pydantic.ValidationError as error:
        lines = [
            f"  --{item['loc'][0]} ({ENV_PREFIX}{str(item['loc'][0]).upper()}):"
            f" {item['msg']}"
            for item in error.errors()
        ]
        raise InvalidError("\n".join(["Invalid settings:", *lines])) from error
