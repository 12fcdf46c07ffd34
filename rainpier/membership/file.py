"""Endpoints of a configuration file: the whole list at the start, and again after each edit."""

import asyncio
from dataclasses import replace

from ..config import model as m
from ..config.types import write_address
from ..interface import Condition, ListKind
from .source import Host, Told

STATES = {"ready": Condition.READY, "draining": Condition.DRAINING}


def hosts(model: m.Model) -> list[Host]:
    """The model's endpoints in the list's terms. A name means one server while the file has it."""
    zone = model.fleet.zones[0] if model.fleet.zones else ""
    return [
        Host(
            name=f"{name}/{m.endpoint_name(e)}", dial=write_address(e.address), site=e.zone or zone,
            kind=e.kind or m.kind_of(model, dest), block=dest.number, health=STATES[e.state],
            share=dest.rate or 0.0, born=0.0,
        )
        for name, dest in model.destinations.items() for e in dest.endpoints
    ]  # fmt: skip


class FileList:
    """A source whose list is what it was last given."""

    def __init__(self, listed: list[Host]) -> None:
        self.listed, self.whole = listed, asyncio.Event()
        self.known: list[Host] = []
        self.told: Told | None = None

    def start(self, told: Told) -> None:
        self.told = told
        told(ListKind.FULL, self.listed)
        self.whole.set()

    def set(self, listed: list[Host]) -> None:
        """The list from now on: what changed is told, and what it lacks is gone."""
        before, after = ({host.name: host for host in some} for some in (self.listed, listed))
        changed = [host for host in listed if before.get(host.name) != host]
        gone = [replace(before[name], health=Condition.GONE) for name in before if name not in after]
        self.listed = listed
        if self.told is not None and changed + gone:
            self.told(ListKind.DELTA, changed + gone)

    def close(self) -> None:
        self.told = None
