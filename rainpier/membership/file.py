"""A source of the endpoints of the configuration file: all at the start, and the changes after each edit."""

import asyncio
from collections.abc import Mapping
from dataclasses import replace

from ..config import model as m
from ..config.types import write_address
from ..interface import Condition, ListKind
from .source import DiscoveredEndpoint, UpdateListener

CONDITIONS = {"ready": Condition.READY, "draining": Condition.DRAINING}


def discovered_endpoints(
    model: m.Model, destination_ids: Mapping[str, int] | None = None
) -> list[DiscoveredEndpoint]:
    """Converts the model's endpoints. A name stands for the same server as long as the file contains it.

    `destination_ids`: the ids in the store, by name; None: the numbers are the ids.
    """
    ids = destination_ids or {name: destination.number for name, destination in model.destinations.items()}
    zone = model.fleet.zones[0] if model.fleet.zones else ""
    return [
        DiscoveredEndpoint(
            name=f"{name}/{m.endpoint_name(e)}", address=write_address(e.address), zone=e.zone or zone,
            kind=e.kind or m.kind_of(model, destination), destination=ids[name],
            condition=CONDITIONS[e.state], rate=destination.rate or 0.0, started_at=0.0,
        )
        for name, destination in model.destinations.items() for e in destination.endpoints
    ]  # fmt: skip


class FileSource:
    """A source whose endpoints are set by its owner (`replace`)."""

    def __init__(self, endpoints: list[DiscoveredEndpoint]) -> None:
        self.endpoints, self.complete = endpoints, asyncio.Event()
        self.cached: list[DiscoveredEndpoint] = []
        self.listener: UpdateListener | None = None

    def start(self, listener: UpdateListener) -> None:
        """Reports all endpoints to `listener` at once, and later each change."""
        self.listener = listener
        listener(ListKind.FULL, self.endpoints)
        self.complete.set()

    def replace(self, endpoints: list[DiscoveredEndpoint]) -> None:
        """Replaces the endpoints and reports the differences; missing ones are reported as GONE."""
        before = {endpoint.name: endpoint for endpoint in self.endpoints}
        after = {endpoint.name: endpoint for endpoint in endpoints}
        changed = [endpoint for endpoint in endpoints if before.get(endpoint.name) != endpoint]
        removed = [replace(before[name], condition=Condition.GONE) for name in before if name not in after]
        self.endpoints = endpoints
        if self.listener is not None and changed + removed:
            self.listener(ListKind.DELTA, changed + removed)

    def close(self) -> None:
        """Stops reporting changes."""
        self.listener = None
