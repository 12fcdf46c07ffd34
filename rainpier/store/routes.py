"""Names of routes in the store, for retry-after deadlines and outages. Does no I/O.

A route is all endpoints of a destination, named by the destination's id, or one endpoint of a kind whose
endpoints are routed apart, named by the endpoint.
"""

DESTINATION_PREFIX, ENDPOINT_PREFIX = "d", "r"


def destination_route(destination: int) -> str:
    """Returns the name of the route to all endpoints of the destination with this id."""
    return f"{DESTINATION_PREFIX}{destination}"


def endpoint_route(endpoint: str) -> str:
    """Returns the name of the route to one endpoint, by the endpoint's name."""
    return f"{ENDPOINT_PREFIX}{endpoint}"


def destination_of(route: str) -> int | None:
    """Returns the id of a route's destination; None for the route to one endpoint."""
    destination = route[len(DESTINATION_PREFIX) :]
    return int(destination) if route.startswith(DESTINATION_PREFIX) and destination.isdecimal() else None


def move_destinations(times: dict[str, float], moved: dict[int, int]) -> dict[str, float]:
    """Returns the times by route, under the new names of destinations that have got another id.

    `moved`: the new id by the old one.
    """
    result = {}
    for route, time in times.items():
        destination = destination_of(route)
        result[route if destination not in moved else destination_route(moved[destination])] = time
    return result
