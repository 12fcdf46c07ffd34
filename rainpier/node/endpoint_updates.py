"""Applies endpoint updates: small ones at once, large ones in slices between which the event loop runs.

An update of 100,000 entries takes a second to apply. In one piece it would delay every response and every
drain by that second. Endpoints that drain or are gone are applied first, since a drain has to take effect
within half a second.
"""

import asyncio
import gc
import itertools
import logging
import time
from collections import deque
from collections.abc import Callable, Iterator

from ..interface import Condition, ListKind
from ..membership.source import DiscoveredEndpoint, UpdateListener

log = logging.getLogger(__name__)
SLICE_SIZE = 200  # entries applied in one callback of the loop, which takes some ms
MIN_PAUSE_S = 0.001  # between slices; the pause is as long as the slice took, if that is longer
MAX_QUEUED_UPDATES = 64  # queued behind the one being applied; further ones are merged into the last


class EndpointUpdates:
    """Applies updates one after another, each at once or in slices."""

    def __init__(
        self,
        apply: UpdateListener,
        known: dict[str, int],
        removed_endpoint: Callable[[str], DiscoveredEndpoint],
    ) -> None:
        """`apply`: applies one update or slice. `known`: numbers of the known endpoints by name.

        `removed_endpoint`: builds the GONE entry for a known endpoint that a full update lacks.
        """
        self.apply, self.known, self.removed_endpoint = apply, known, removed_endpoint
        self.in_slices = False  # the node sets it when it starts to serve; before, no message is delayed
        self.queue: deque[tuple[ListKind, list[DiscoveredEndpoint]]] = deque()
        self.task: asyncio.Task | None = None
        self.idle = asyncio.Event()  # set while no update is queued or being applied
        self.idle.set()

    def receive(self, kind: ListKind, endpoints: list[DiscoveredEndpoint]) -> None:
        """Applies an update from the source at once, or queues it."""
        size = max(len(endpoints), len(self.known)) if kind is not ListKind.DELTA else len(endpoints)
        if self.task is None and (not self.in_slices or size <= SLICE_SIZE):
            return self.apply(kind, endpoints)
        if kind is not ListKind.DELTA:
            self.queue.clear()  # a full update contains everything that is queued
        elif len(self.queue) >= MAX_QUEUED_UPDATES:  # limits the number of updates without losing an entry
            kind, before = self.queue.pop()
            endpoints = before + endpoints
        self.queue.append((kind, endpoints))
        if self.task is None:
            self.idle.clear()
            self.task = asyncio.get_running_loop().create_task(self.run())

    async def wait_until_applied(self) -> None:
        """Waits until all updates received so far are applied."""
        await self.idle.wait()

    def close(self) -> None:
        """Stops applying updates and drops the queued ones."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Applies the queued updates, with a pause after each slice."""
        try:
            while self.queue:
                kind, endpoints = self.queue.popleft()
                for entries in self.slices(kind, endpoints):
                    begun = time.perf_counter()
                    self.apply_slice(entries)
                    await asyncio.sleep(max(MIN_PAUSE_S, time.perf_counter() - begun))
        finally:
            self.task = None
            self.idle.set()
            # Otherwise each full garbage collection would traverse all endpoint entries and delay rounds.
            # Dropped entries are still freed by their reference count, since they are in no reference cycle.
            gc.freeze()

    def apply_slice(self, entries: list[DiscoveredEndpoint]) -> None:
        """Applies one slice. A failure is logged, and the other slices are still applied."""
        try:
            if entries:
                self.apply(ListKind.DELTA, entries)
        except Exception:
            size, first = len(entries), entries[0].name
            log.exception("slice of an endpoint update skipped: %d entries, the first is %s", size, first)

    def slices(
        self, kind: ListKind, endpoints: list[DiscoveredEndpoint]
    ) -> Iterator[list[DiscoveredEndpoint]]:
        """Yields the slices of an update: endpoints that drain or are gone first, then the ready ones.

        An empty slice follows each scanned chunk, so that the loop also runs where nothing is applied.
        """
        ready: list[DiscoveredEndpoint] = []
        names: set[str] = set()
        for chunk in batched(endpoints, 5 * SLICE_SIZE):
            names.update(endpoint.name for endpoint in chunk)
            ready += [endpoint for endpoint in chunk if endpoint.condition is Condition.READY]
            yield from batched(
                [endpoint for endpoint in chunk if endpoint.condition is not Condition.READY], SLICE_SIZE
            )
            yield []
        if kind is not ListKind.DELTA:  # an endpoint missing from a full update is gone
            for chunk in batched(list(self.known), 5 * SLICE_SIZE):
                missing = [name for name in chunk if name not in names and name in self.known]
                yield from batched([self.removed_endpoint(name) for name in missing], SLICE_SIZE)
                yield []
        yield from batched(ready, SLICE_SIZE)


def batched(items: list, size: int) -> Iterator[list]:
    """Yields the items in lists of `size`; the last one may be shorter."""
    remaining = iter(items)
    while batch := list(itertools.islice(remaining, size)):
        yield batch
