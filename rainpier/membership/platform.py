"""Endpoint discovery of the platform as a source: reads all endpoints, then long-polls for changes."""

import asyncio
import json
import logging
import math
import random

from ..carriers.http.client import Client
from ..carriers.http.exchange import EXCHANGE_ERRORS
from ..interface import Condition, ListKind
from ..tasks import supervise
from .source import DiscoveredEndpoint, UpdateListener

log = logging.getLogger(__name__)
CONDITIONS = {"SERVING": Condition.READY, "DRAINING": Condition.DRAINING, "DELETED": Condition.GONE}
WATCH_TIMEOUT = 20.0  # s that discovery may hold a watch request until something changes
WATCH_MARGIN = 1.5  # s beyond WATCH_TIMEOUT, after which a watch without a response is requested again
# s for the response with all endpoints, which comes at once, and for the rest of any response that has begun
RESPONSE_TIMEOUT = 2.0
RETRY_PAUSE = 0.1  # s after a failed request; a watch goes on if the next request comes within 200 ms
# Retries after an overload are spread at random over an interval that grows with the fleet.
UNSPREAD_SENDERS = 4  # fleets up to this size may all retry at the same time
SPREAD_PER_SENDER = 0.25  # s of that interval for each further sender
MAX_SPREAD = 8.0  # s; within it discovery can answer every sender of any fleet (upper bound of all_call_s)
MAX_OVERLOAD_PAUSE = 5.0  # s between requests while discovery is overloaded, or the spread if that is longer
MAX_BODY = 4 << 20  # bytes of a response body
DEFAULT_MEMORY = 192_000_000  # bytes
VALUE_MEMORY = 100  # bytes that a decoded JSON value takes, at least
DECODED_SHARE = 0.25  # of the process's memory, for one decoded response
MAX_NAME = 256  # characters of a name, address, zone or kind
# Raised by the parsing of an invalid response.
INVALID_RESPONSE = (ValueError, KeyError, TypeError, OverflowError, RecursionError)


def decode(body: bytes, max_values: int) -> dict:
    """Decodes a response with at most `max_values` values; raises ValueError.

    Each value is followed by a comma or stands in a list or object of its own, so that their number is known
    before any memory is taken for them.
    """
    values = sum(map(body.count, (b",", b"[", b"{")))
    if values > max_values:
        raise ValueError(f"response has about {values} values, {max_values} at most")
    return json.loads(body)


def parse_number(row: dict, name: str, default: float) -> float:
    """Reads a finite number >= 0. Raises ValueError: the JSON parser also accepts NaN and Infinity."""
    value = float(row.get(name, default))
    if not 0 <= value < math.inf:
        raise ValueError(f"{name} out of range: {value}")
    return value


def parse_endpoint(row: dict) -> DiscoveredEndpoint:
    """Parses one entry of a response. Raises KeyError, TypeError, ValueError or OverflowError."""
    names = [str(row[name]) for name in ("host", "dial", "site", "class")]
    if not all(0 < len(name) <= MAX_NAME for name in names):
        raise ValueError(f"a name is empty or longer than {MAX_NAME} characters")
    destination = int(row["block"])
    if not 0 <= destination < 2**31:
        raise ValueError(f"block out of range: {destination}")
    return DiscoveredEndpoint(
        *names,
        destination,
        CONDITIONS[row["health"]],
        parse_number(row, "share", 1.0),
        parse_number(row, "born_ms", 0.0),
    )


def parse_endpoints(raw: dict) -> list[DiscoveredEndpoint]:
    """Parses the entries of a response; an invalid one is logged, and its endpoint counts as gone."""
    endpoints = []
    for row in raw["hosts"]:
        try:
            endpoints.append(parse_endpoint(row))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            log.error("discovery: invalid entry skipped: %r: %.200r", error, row)
            name = row.get("host") if isinstance(row, dict) else None
            if isinstance(name, str) and 0 < len(name) <= MAX_NAME:
                endpoints.append(unusable_endpoint(name))
    return endpoints


def unusable_endpoint(name: str) -> DiscoveredEndpoint:
    """Returns an entry for an endpoint whose own entry is invalid: it was known, or it is ignored."""
    return DiscoveredEndpoint(name, "", "", "", 0, Condition.GONE, 0.0, 0.0)


def parse_version(cached: dict) -> int | None:
    """Returns the version of a cached list of endpoints; None if the version is invalid or the list empty."""
    version = cached.get("seq")
    usable = (
        isinstance(version, int)
        and not isinstance(version, bool)
        and version >= 0
        and bool(cached.get("hosts"))
    )
    return version if usable else None


class Overloaded(Exception):
    """Discovery answered that it is overloaded."""


class Discovery:
    """A source of endpoints: reads all of them, then watches for changes until it is closed."""

    def __init__(
        self,
        address: tuple[str, int],
        cached: dict | None = None,
        senders: int = 1,
        memory: int = DEFAULT_MEMORY,
    ) -> None:
        """`cached`: the response that an earlier process stored; only the changes since then are asked for.

        `senders`: size of the fleet, over which retries are spread; `memory`: limit of the process, bytes.
        """
        self.max_values = int(DECODED_SHARE * memory / VALUE_MEMORY)
        self.address, self.client = address, Client(address, MAX_BODY)
        self.spread = min(SPREAD_PER_SENDER * max(0, senders - UNSPREAD_SENDERS), MAX_SPREAD)
        self.listener: UpdateListener = lambda kind, endpoints: None
        self.cached = parse_endpoints(cached) if cached else []
        self.version = parse_version(cached or {})
        self.complete = asyncio.Event()  # set once a response has been applied
        self.task: asyncio.Task | None = None
        self.watch_lost = False  # the last watch's connection ended: its next one may be to another process

    def start(self, listener: UpdateListener) -> None:
        """Starts to read endpoints, and reports each update to `listener`."""
        self.listener = listener
        self.start_task()

    def start_task(self) -> None:
        """Starts the task that sends the requests."""
        self.task = asyncio.get_running_loop().create_task(supervise(self.run))

    def close(self) -> None:
        """Stops the task and closes the connections."""
        if self.task is not None:
            self.task.cancel()
        self.client.drop()

    def move(self, address: tuple[str, int]) -> None:
        """Switches to another address at once.

        The pending watch is cancelled, because the old address may never answer again. Version numbers are
        not valid at the new address, so all endpoints are read again.
        """
        self.close()
        self.address, self.version, self.client = address, None, Client(address, MAX_BODY)
        self.start_task()

    async def run(self) -> None:
        """Sends requests one after another; consecutive failures are logged once."""
        # The first request is not delayed: a drain applies from the moment at which discovery has it, whether
        # or not it was asked for. Senders that start together are spread once discovery is overloaded.
        pause, failing = RETRY_PAUSE, False
        while True:
            try:
                await self.request_update()
                pause, failing = RETRY_PAUSE, False
                continue
            except Overloaded as error:
                # Decorrelated jitter over at least the fleet's spread: senders that were refused together
                # must not retry together, nor so often that the queue of discovery stays full.
                failure: Exception = error
                pause = min(
                    max(MAX_OVERLOAD_PAUSE, self.spread),
                    random.uniform(RETRY_PAUSE, max(3 * pause, self.spread)),
                )
            except (*EXCHANGE_ERRORS, TimeoutError, *INVALID_RESPONSE) as error:
                failure, pause = error, RETRY_PAUSE
                self.watch_lost = isinstance(error, OSError | EOFError)
                if isinstance(error, INVALID_RESPONSE):
                    self.version = None  # the response may have contained changes: read all endpoints
            if not failing:
                log.warning(
                    "discovery at %s:%d: %r; going on with the endpoints known so far", *self.address, failure
                )
            failing = True
            await asyncio.sleep(pause)

    async def request_update(self, whole: bool = False) -> None:
        """Sends one request and reports its endpoints; `whole`: asks for all of them in any case.

        Raises Overloaded, TimeoutError, or one of EXCHANGE_ERRORS or INVALID_RESPONSE.
        """
        target, timeout = "/v1/servers", RESPONSE_TIMEOUT
        if self.version is not None and not whole:
            wait = 0.0 if self.watch_lost else WATCH_TIMEOUT
            target = f"{target}?index={self.version}&wait={int(wait * 1000)}"
            timeout = wait + WATCH_MARGIN
        # Only the wait for the first byte may last as long as a watch. Otherwise a connection that is never
        # established, or a response that stops half-way, would be waited for as long.
        response = await self.client.request("GET", target, b"", timeout, RESPONSE_TIMEOUT)
        if response.status in (429, 503):
            raise Overloaded(f"answered {response.status}")
        if response.status != 200:
            raise ValueError(f"answered {response.status}")
        raw = decode(response.body, self.max_values)
        endpoints, version = parse_endpoints(raw), int(raw["seq"])
        if version < 0:
            raise ValueError(f"seq out of range: {version}")
        self.watch_lost = False
        if self.version is not None and version < self.version and not raw.get("whole"):
            log.warning("discovery counts its versions anew: %d after %d", version, self.version)
            return await self.request_update(whole=True)
        self.listener(ListKind.FULL if raw.get("whole") else ListKind.DELTA, endpoints)
        self.version = version
        self.complete.set()
