"""Retry-after deadlines by destination, or by receiver for kinds whose receivers are routed apart."""

import math

from .. import interface as i
from ..carriers.http.receivers import Receivers
from ..store.routes import destination_route, endpoint_route
from ..structures.schedule import Schedule
from .core import Core


class RetryAfterDeadlines:
    """The deadlines by route: until then nothing may be written to the route's receivers.

    A route is one receiver where its kind is `apart`, else all receivers of a destination.
    """

    def __init__(self, core: Core, receivers: Receivers) -> None:
        self.core, self.receivers = core, receivers
        self.deadlines: Schedule[tuple[str, int]] = Schedule()  # by route: loop time, s

    def is_apart(self, endpoint: i.EndpointEntry) -> bool:
        """Whether the receiver is a route of its own."""
        return self.core.settings.kinds[endpoint.kind].apart

    def route(self, endpoint: i.EndpointEntry) -> tuple[str, int]:
        """Returns the route's key in this process."""
        return (
            ("receiver", endpoint.endpoint)
            if self.is_apart(endpoint)
            else ("destination", endpoint.destination)
        )

    def route_name(self, endpoint: i.EndpointEntry) -> str:
        """Returns the route's name in the store. It is valid in all processes; endpoint numbers are not."""
        if self.is_apart(endpoint):
            return endpoint_route(self.receivers.by_number[endpoint.endpoint].name)
        return destination_route(endpoint.destination)

    def extend(self, endpoint: i.EndpointEntry, wait: float) -> float:
        """Sets the route's deadline to `wait` ms from now, unless a later one is set.

        Returns now + `wait`, in ms on the store's clock (Core.now).
        """
        until = self.core.loop.time() + wait / 1000
        route = self.route(endpoint)
        self.deadlines.set(route, max(self.deadlines.times.get(route, -math.inf), until))
        return until * 1000 + self.core.epoch

    def has_passed(self, endpoint: i.EndpointEntry) -> bool:
        """Whether calls to the route are allowed: it has no deadline, or its deadline has passed."""
        return self.core.loop.time() >= self.deadlines.times.get(self.route(endpoint), -math.inf)

    def drop_expired(self) -> None:
        """Removes the deadlines that have passed."""
        self.deadlines.due(self.core.loop.time())
