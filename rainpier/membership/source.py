"""The interface of endpoint sources: discovered endpoints and their updates."""

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..interface import Condition, ListKind


@dataclass(slots=True, frozen=True)
class DiscoveredEndpoint:
    """One endpoint of a destination."""

    name: str  # identifies the endpoint; an endpoint that is replaced gets another name
    address: str  # HOST:PORT
    zone: str
    kind: str  # name of its kind in the settings
    destination: int  # id of its destination
    condition: Condition
    rate: float  # calls a second that its destination takes from all senders, if the source knows rates
    started_at: float  # Unix time of its start, ms; 0: unknown, long ago


class AddressError(ValueError):
    """An address that is not HOST:PORT; the text names the setting or endpoint."""


def parse_address(text: object, name: str) -> tuple[str, int]:
    """Parses HOST:PORT, with or without brackets around an IPv6 host.

    Raises AddressError, whose text starts with `name`.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise AddressError(f"{name}: not HOST:PORT: {text!r}")
    return sys.intern(host.strip("[]")), int(port)  # interned, because many endpoints may share a host


UpdateListener = Callable[[ListKind, list[DiscoveredEndpoint]], None]


class EndpointSource(Protocol):
    """Reports all endpoints once, then each change, from `start` to `close`."""

    complete: asyncio.Event  # set once all endpoints have been reported
    cached: list[DiscoveredEndpoint]  # endpoints known from an earlier process; used until `complete` is set

    def start(self, listener: UpdateListener) -> None:
        """Starts to report updates to `listener`."""
        ...

    def close(self) -> None:
        """Stops reporting."""
        ...
