"""Retry-after deadlines by destination, or by receiver for kinds whose receivers are routed apart."""

import math

from .. import interface as i
from ..carriers.http.receivers import Receivers
from ..store.routes import destination_route, endpoint_route
from ..structures.schedule import Schedule
from .core import Core


class RetryAfterDeadlines:
    """The deadlines by route: until then nothing may be written to the route's receivers.

    A route is one receiver where its kind is `apart`, else all receivers of a destination. A deadline binds a
    receiver by either route, since its kind may have changed after the deadline was set.
    """

    def __init__(self, core: Core, receivers: Receivers) -> None:
        self.core, self.receivers = core, receivers
        self.deadlines: Schedule[str] = Schedule()  # by the route's name in the store: loop time, s
        self.load()

    def load(self) -> None:
        """Sets the deadlines that the store has: of an earlier process, or under a destination's new id.

        Not without configured destinations, on the platform, where a restart ends a deadline.
        """
        if not self.core.config.destinations:
            return
        for route, until in self.core.store.state.retry_after.items():
            if until > self.core.now:
                self.set_latest(route, (until - self.core.epoch) / 1000)

    def set_latest(self, route: str, until: float) -> None:
        """Sets a route's deadline (loop time, s), unless a later one is set."""
        self.deadlines.set(route, max(self.deadlines.times.get(route, -math.inf), until))

    def is_apart(self, endpoint: i.EndpointEntry) -> bool:
        """Whether the receiver is a route of its own."""
        return self.core.settings.kinds[endpoint.kind].apart

    def route_names(self, endpoint: i.EndpointEntry) -> tuple[str, str]:
        """Returns the names in the store of the receiver's route, and of what is its route for other kinds.

        They are valid in all processes; endpoint numbers are not.
        """
        shared = destination_route(endpoint.destination)
        own = endpoint_route(self.receivers.by_number[endpoint.endpoint].name)
        return (own, shared) if self.is_apart(endpoint) else (shared, own)

    def route_name(self, endpoint: i.EndpointEntry) -> str:
        """Returns the name of the receiver's route in the store."""
        return self.route_names(endpoint)[0]

    def extend(self, endpoint: i.EndpointEntry, wait: float) -> float:
        """Sets the route's deadline to `wait` ms from now, unless a later one is set.

        Returns now + `wait`, in ms on the store's clock (Core.now).
        """
        until = self.core.loop.time() + wait / 1000
        self.set_latest(self.route_name(endpoint), until)
        return until * 1000 + self.core.epoch

    def remaining(self, endpoint: i.EndpointEntry) -> float:
        """Returns the ms until calls to the receiver are allowed; 0: they are."""
        times = self.deadlines.times
        if not times:
            return 0.0
        until = max(times.get(route, -math.inf) for route in self.route_names(endpoint))
        return max(0.0, (until - self.core.loop.time()) * 1000)

    def has_passed(self, endpoint: i.EndpointEntry) -> bool:
        """Whether calls to the receiver are allowed: it has no deadline, or its deadline has passed."""
        return self.remaining(endpoint) <= 0

    def drop_expired(self) -> None:
        """Removes the deadlines that have passed."""
        self.deadlines.due(self.core.loop.time())
