"""Settings of a daemon: flags go before environment variables."""

import dataclasses
import inspect
import ipaddress

import pydantic
import pydantic_settings

ENV_PREFIX = "MIMOSARIDGE_"


class InvalidError(Exception):
    """Settings that can't be used; the text lists every problem."""


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon:
        raise ValueError("give it as IP:PORT")
    ipaddress.ip_address(host)
    if not 0 < int(port) < 65536:
        raise ValueError("the port must lie between 1 and 65535")
    return value


def _check_url(value: str) -> str:
    if not value.startswith("http://"):
        raise ValueError("give it as http://IP:PORT")
    return value.rstrip("/")


class Settings(pydantic_settings.BaseSettings):
    """All settings.

    Attributes:
        name: The daemon's name, unique in the deployment.
        zone: Its availability zone.
        listen_http: IP:PORT for callers and operators.
        listen_peer: IP:PORT for other daemons.
        store_url: The platform's key-value service.
        hosts_url: The platform's list of hosts.
        peer_secret: Secret that all daemons of the deployment share.
        bootstrap_key: Operator's token that counts until one is granted.
        statsd: IP:PORT of the statsd server; empty for none.
        log_level: Least severe level that is logged.
        largest_body: Largest request body in bytes.
        seed: Seed of the daemon's random numbers; 0 takes the system's.
        record: File that events are recorded to; empty for none.
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
    """A setting as people read of it.

    Attributes:
        name: Its name; also the name of its flag.
        variable: Its environment variable.
        default: What it is if not given; "required" if it must be.
        meaning: What it is for.
    """

    name: str
    variable: str
    default: str
    meaning: str


def describe() -> list[Description]:
    """Returns all settings in the order of their declaration."""
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
        "mimosaridged: the daemon of an entry host; SIGTERM drains it.",
        "Each setting is a flag or an environment variable:",
    ]
    for item in describe():
        default = f" [{item.default}]" if item.default else ""
        lines.append(f"  --{item.name}=... or {item.variable}{default}")
        lines.append(f"      {item.meaning}")
    return "\n".join(lines)


def load(flags: dict[str, object]) -> Settings:
    """Reads the settings.

    Raises:
        InvalidError: With every problem that was found.
    """
    given = {name: str(value) for name, value in flags.items()}
    try:
        return Settings(**given)
    except pydantic.ValidationError as error:
        lines = [
            f"  --{item['loc'][0]} ({ENV_PREFIX}{str(item['loc'][0]).upper()}):"
            f" {item['msg']}"
            for item in error.errors()
        ]
        raise InvalidError("\n".join(["Bad settings:", *lines])) from error
