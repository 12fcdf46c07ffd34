"""Keeps the zones to which held messages are bound in step with the zones of the endpoints.

A message is bound to the zone in which its endpoint was when an attempt of it may have run there. Where that
endpoint is listed in another zone later, by an edit, by discovery or at a start, nothing tells which zone
knows the message's key: the zone of such an attempt is not known from then on.
"""

import logging
import zlib
from collections.abc import Iterator
from dataclasses import replace
from functools import lru_cache

from .. import interface as i
from ..store.entry import AttemptPlace, Entry
from .core import Core

log = logging.getLogger(__name__)
MAX_CACHED_PLACES = 4096  # of endpoints that were called last
MAX_EARLIER_ENDPOINTS = 10_000  # whose zones are remembered after they were released


def endpoint_checksum(name: str) -> int:
    """Returns what the store records of an endpoint's name.

    Endpoints that share a checksum by chance are taken for one, which only makes a zone count as not known.
    """
    return zlib.crc32(name.encode())


@lru_cache(MAX_CACHED_PLACES)
def attempt_place(name: str, zone: str) -> AttemptPlace:
    """Returns what the store records of an attempt at the endpoint with this name in this zone."""
    return AttemptPlace(zone, endpoint_checksum(name))


class AttemptPlaces:
    """Compares the recorded places of attempts with the zones in which the endpoints are listed."""

    def __init__(self, core: Core) -> None:
        self.core = core
        # By checksum of an endpoint: the zones in which it was when an earlier process made attempts there,
        # or this process released it.
        self.earlier_zones: dict[int, set[str]] = {}
        for entry in core.store.entries.values():
            for place in self.known_places(entry):
                assert place.zone is not None
                self.earlier_zones.setdefault(place.endpoint, set()).add(place.zone)

    @staticmethod
    def known_places(entry: Entry) -> Iterator[AttemptPlace]:
        """Yields the places of the open attempt and of the risky one, if their zone is known."""
        if entry.begun and entry.begun_place.zone is not None:
            yield entry.begun_place
        if entry.risky_at and entry.risky_place.zone is not None:
            yield entry.risky_place

    def on_released(self, name: str, zone: str) -> None:
        """Remembers the zone of an endpoint that is not known any more, since it may come back in another."""
        endpoint = endpoint_checksum(name)
        zones = self.earlier_zones.pop(endpoint, set())
        self.earlier_zones[endpoint] = zones | {zone}
        if len(self.earlier_zones) > MAX_EARLIER_ENDPOINTS:
            del self.earlier_zones[next(iter(self.earlier_zones))]

    def on_listed(self, name: str, zone: str, zone_before: str | None) -> None:
        """Applies the zone in which an endpoint is listed now.

        `zone_before`: where this process has known it; None: not known before.
        """
        endpoint = endpoint_checksum(name)
        before = self.earlier_zones.get(endpoint, set()) if zone_before is None else {zone_before}
        if before <= {zone}:
            return
        log.warning("endpoint %s has changed to zone %s from %s", name, zone, ", ".join(sorted(before)))
        for entry in self.core.store.entries.values():
            self.unbind(entry, endpoint, zone)

    def unbind(self, entry: Entry, endpoint: int, zone: str) -> None:
        """Makes the zones of attempts at the endpoint unknown, except for those made in `zone`."""
        lost = [p for p in self.known_places(entry) if p.endpoint == endpoint and p.zone != zone]
        if entry.begun_place in lost:
            entry.begun_place = replace(entry.begun_place, zone=None)
        if entry.risky_place in lost:
            entry.risky_place = replace(entry.risky_place, zone=None)
            self.report_lost_zone(entry)

    def report_lost_zone(self, entry: Entry) -> None:
        """Tells the policy if the zone of the message's risky attempt is not known."""
        if entry.risky_at and entry.risky_place.zone is None:
            self.core.push(i.ZoneLost(entry.number))
