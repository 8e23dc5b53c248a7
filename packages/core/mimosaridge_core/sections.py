"""Sections of the configuration that operators and analysts may read."""

from collections.abc import Callable
import dataclasses
from typing import Any

from mimosaridge_core import configuration
from mimosaridge_core import snapshots

Section = Callable[[configuration.Config], Any]
SECTIONS: dict[str, Section] = {}


@dataclasses.dataclass(slots=True)
class KeyView:
    """A granted key as it is listed, without its salt and digest.

    Attributes:
        key_id: Public part of the key.
        role: The key's role.
        team: The key's team; empty for operators and analysts.
    """

    key_id: str
    role: str
    team: str


@dataclasses.dataclass(slots=True)
class Listing:
    """One section of the configuration.

    Attributes:
        number: Number of the configuration.
        items: Items of the section.
    """

    number: int
    items: list[Any]


def section(name: str) -> Callable[[Section], Section]:
    """Registers a function that returns the section of a given name."""

    def register(function: Section) -> Section:
        SECTIONS[name] = function
        return function

    return register


@section("teams")
def _teams(config: configuration.Config) -> Listing:
    return Listing(config.number, list(config.teams.values()))


@section("workspaces")
def _workspaces(config: configuration.Config) -> Listing:
    names = {team.workspace for team in config.teams.values()}
    return Listing(config.number, sorted(names))


@section("keys")
def _keys(config: configuration.Config) -> Listing:
    views = [
        KeyView(key.key_id, key.role, key.team)
        for key in config.keys.values()
        if not key.withdrawn
    ]
    return Listing(config.number, views)


@section("queues")
def _queues(config: configuration.Config) -> Listing:
    return Listing(config.number, list(config.queues.values()))


@section("services")
def _services(config: configuration.Config) -> Listing:
    return Listing(config.number, list(config.services.values()))


@section("zones-out")
def _zones_out(config: configuration.Config) -> Listing:
    return Listing(config.number, config.zones_out)


@section("workers-out")
def _workers_out(config: configuration.Config) -> Listing:
    return Listing(config.number, config.workers_out)


@section("policy")
def _policy(config: configuration.Config) -> Listing:
    return Listing(config.number, [config.policy])


@section("snapshot")
def _snapshot(config: configuration.Config) -> snapshots.Snapshot:
    return snapshots.export(config)
