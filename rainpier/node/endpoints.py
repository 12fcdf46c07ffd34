"""Registry of endpoints: their names, their numbers in this process, and the destinations that they serve.

Applies the updates of the endpoint source and passes them on to the transports and to the policy.
"""

import logging
from collections import Counter
from dataclasses import replace
from itertools import islice

from .. import interface as i
from ..carriers.http.receivers import Receivers
from ..membership.source import AddressError, DiscoveredEndpoint, parse_address
from .attempt_places import AttemptPlaces
from .core import Core
from .endpoint_updates import EndpointUpdates
from .retry_after import RetryAfterDeadlines

log = logging.getLogger(__name__)
# receivers released in one periodic check; more would block the loop for long where many leave at once
MAX_RELEASED_PER_SWEEP = 500


class EndpointRegistry:
    """The known endpoints. Each is a receiver of the transports under the same number."""

    def __init__(
        self, core: Core, receivers: Receivers, retry_after: RetryAfterDeadlines, places: AttemptPlaces
    ) -> None:
        self.core, self.receivers, self.retry_after, self.places = core, receivers, retry_after, places
        self.kinds = {kind.name: number for number, kind in enumerate(core.settings.kinds)}
        self.numbers: dict[str, int] = {}  # of endpoints, by name
        self.next_number = 1
        self.destinations: Counter[int] = Counter()  # number of known receivers by destination
        # numbers of receivers that the policy has dropped; calls to them may still be open
        self.forgotten: dict[int, None] = {}
        self.updates = EndpointUpdates(self.apply, self.numbers, self.removed_endpoint)
        self.new_endpoints: list[i.EndpointEntry] = []  # registered since the last update was passed on
        # of an earlier process: starts of outages, Unix ms, by route name
        self.earlier_outages = dict(core.store.state.outages)

    def serves(self, destination: int) -> bool:
        """Whether the destination with this id has a known receiver."""
        return destination in self.destinations

    def removed_endpoint(self, name: str) -> DiscoveredEndpoint:
        """Builds the entry, with condition GONE, for a known endpoint that a full update lacks."""
        receiver = self.receivers.by_number[self.numbers[name]]
        entry, (host, port) = receiver.entry, receiver.address
        zone = self.core.zones.name(entry.zone)
        kind, rate = self.core.settings.kinds[entry.kind].name, entry.rate or 0.0
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        return DiscoveredEndpoint(
            name, address, zone, kind, entry.destination, i.Condition.GONE, rate, entry.added
        )

    def apply(self, kind: i.ListKind, endpoints: list[DiscoveredEndpoint]) -> None:
        """Applies an update, or a slice of one, between two rounds."""
        entries = [entry for endpoint in endpoints if (entry := self.register(endpoint)) is not None]
        if kind is not i.ListKind.DELTA:  # an endpoint missing from a full update is gone
            present = {entry.endpoint for entry in entries}
            for number, receiver in self.receivers.by_number.items():
                if number not in present:
                    gone = replace(receiver.entry, condition=i.Condition.GONE)
                    self.receivers.update(gone, receiver.name, receiver.address)
        self.core.push(i.ListChange(kind, tuple(entries)))
        added, self.new_endpoints = self.new_endpoints, []
        self.restore_routes(added)

    def restore_routes(self, entries: list[i.EndpointEntry]) -> None:
        """Tells the policy (Remembered) of deadlines and earlier outages of endpoints new to this process."""
        for entry in entries:
            wait, down = self.retry_after.remaining(entry), self.was_down(entry)
            if wait or down:
                self.core.push(i.Remembered(entry.endpoint, wait, down))

    def was_down(self, entry: i.EndpointEntry) -> bool:
        """Whether an earlier process recorded an outage of the endpoint's route.

        Each outage is told once. One of a route that the kind does not have any more is told for, and moved
        to, the routes that have taken its place.
        """
        if not self.earlier_outages:
            return False
        route, former_route = self.retry_after.route_names(entry)
        if route in self.earlier_outages:
            del self.earlier_outages[route]
            return True
        since = self.earlier_outages.get(former_route)
        if since is None:
            return False
        if not self.retry_after.is_apart(entry):  # else the other endpoints of the destination follow
            del self.earlier_outages[former_route]
        self.core.store.record_outage(route, since)
        if former_route in self.core.store.state.outages:
            self.core.store.record_outage(former_route, 0.0)
        return True

    def register(self, endpoint: DiscoveredEndpoint) -> i.EndpointEntry | None:
        """Adds or updates one endpoint.

        Returns None for an endpoint that is gone and was not known; also None, and logs an error, for one of
        an unknown kind or with an invalid address. If that one was known, it gets no more calls.
        """
        kinds, zones = self.kinds, self.core.zones
        if not endpoint.address:  # the source has logged why
            return self.retire(endpoint.name)
        if endpoint.kind not in kinds:
            log.error("discovery: endpoint %s skipped: unknown class: %s", endpoint.name, endpoint.kind)
            return self.retire(endpoint.name)
        try:
            address = parse_address(endpoint.address, endpoint.name)
        except AddressError as failure:
            log.error("discovery: endpoint skipped: %s", failure)
            return self.retire(endpoint.name)
        number = self.assign_number(endpoint)
        if number is None:
            return None
        zone = zones.number(endpoint.zone)
        rate = endpoint.rate if self.core.config.rated else None
        entry = i.EndpointEntry(
            number,
            endpoint.destination,
            zone,
            kinds[endpoint.kind],
            endpoint.condition,
            rate,
            endpoint.started_at,
        )
        known = self.receivers.by_number.get(number)
        if known is None or known.entry.zone != zone:
            self.places.on_listed(
                endpoint.name, endpoint.zone, zones.name(known.entry.zone) if known else None
            )
            zones.add_endpoint(zone)
            if known is not None:
                zones.remove_endpoint(known.entry.zone)
        self.receivers.update(entry, endpoint.name, address)
        if known is None:
            self.destinations[endpoint.destination] += 1
            self.new_endpoints.append(entry)
        return entry

    def recall_outage(self, entry: i.EndpointEntry) -> None:
        """Lets an outage of the endpoint's route be told for the number that takes its place."""
        route = self.retry_after.route_name(entry)
        since = self.core.store.state.outages.get(route)
        if since is not None:
            self.earlier_outages[route] = since

    def retire(self, name: str) -> None:
        """Lets the endpoint that is known by this name, if any, get no more calls."""
        receiver = self.receivers.by_number.get(self.numbers.get(name, 0))
        if receiver is not None:
            gone = replace(receiver.entry, condition=i.Condition.GONE)
            self.receivers.update(gone, name, receiver.address)
            self.core.push(i.ListChange(i.ListKind.DELTA, (gone,)))

    def decrement_receivers(self, destination: int) -> None:
        """Counts one receiver fewer for the destination, and drops the destination at 0."""
        self.destinations[destination] -= 1
        if not self.destinations[destination]:
            del self.destinations[destination]

    def assign_number(self, endpoint: DiscoveredEndpoint) -> int | None:
        """Returns the endpoint's number in this process; None if it is gone and was not known.

        With another destination or kind it gets another number: policy and transports keep both for a number.
        """
        number = self.numbers.get(endpoint.name)
        if number in self.forgotten:  # the policy has dropped this number, so it can't be used again
            number = None
        known = self.receivers.by_number.get(number) if number is not None else None
        if known is not None and (
            known.entry.destination != endpoint.destination or known.entry.kind != self.kinds[endpoint.kind]
        ):
            self.recall_outage(known.entry)
            self.retire(endpoint.name)
            number = None
        if number is None and endpoint.condition is not i.Condition.GONE:
            number = self.numbers[endpoint.name] = self.next_number
            self.next_number += 1
        return number

    def release_forgotten(self) -> None:
        """Releases receivers that the policy has dropped, once they have no open call."""
        for number in list(islice(self.forgotten, MAX_RELEASED_PER_SWEEP)):
            receiver = self.receivers.by_number.get(number)
            del self.forgotten[number]
            if receiver is None:
                continue
            if not self.receivers.forget(number):
                self.forgotten[number] = None  # a call to it is open: tried again after the others
            else:
                if self.numbers.get(receiver.name) == number:
                    del self.numbers[receiver.name]
                self.decrement_receivers(receiver.entry.destination)
                self.places.on_released(receiver.name, self.core.zones.name(receiver.entry.zone))
                self.core.zones.remove_endpoint(receiver.entry.zone)
