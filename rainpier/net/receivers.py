"""Calls to receivers, single and batch, and the connections they travel on."""

import asyncio
import base64
import json
import logging
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .. import interface as i
from ..interface import Outcome
from .http import BROKEN, Answer, Connection
from .journal import Entry

log = logging.getLogger(__name__)
WHOLE = {200: Outcome.OK, 500: Outcome.ERROR, 429: Outcome.FULL, 503: Outcome.FULL,
         504: Outcome.MOOT, 410: Outcome.MOOT, 400: Outcome.FULL, 413: Outcome.FULL}  # fmt: skip
EACH = {"delivered": Outcome.OK, "failed": Outcome.ERROR, "refused": Outcome.FULL,
        "over": Outcome.MOOT, "spent": Outcome.MOOT}  # fmt: skip
MAX_BODY = 65536  # bytes of a call's body
IDLE_SHARE = 0.9  # of the time after which a receiver closes an idle connection: older ones are not used


@dataclass(slots=True, eq=False)
class Receiver:
    """A listed receiver, and the idle connections to it."""

    host: str
    address: tuple[str, int]
    listed: i.Listed
    batch: int
    told_at: float = math.inf  # loop time at which it was told to drain or be gone
    idle: list[Connection] = field(default_factory=list)

    def close_idle(self) -> None:
        while self.idle:
            self.idle.pop().close()


@dataclass(slots=True, eq=False)
class Call:
    """One attempt each of the messages that travel in it."""

    receiver: Receiver
    entries: list[Entry]
    attempts: list[int]
    started: float  # loop time, s
    until: float  # loop time, s
    settled: set[int] = field(default_factory=set)  # messages whose attempt has its outcome already
    task: asyncio.Task | None = None
    written: bool = False
    open: bool = True


@dataclass(slots=True)
class Ending:
    """How a call ended: for each message its outcome and whether nothing more is owed for it."""

    outcomes: list[tuple[Outcome, bool]]
    wait: float = 0.0  # ms
    report: tuple[float, ...] = ()


def batches(entries: list[Entry], most: int) -> Iterator[list[Entry]]:
    """As many messages to a call as its kind allows and a body holds."""
    batch: list[Entry] = []
    size = 0
    for entry in entries:
        need = len(entry.body) * 4 // 3 + len(entry.id) + len(entry.token) + 64
        if batch and (len(batch) == most or size + need > MAX_BODY):
            yield batch
            batch, size = [], 0
        batch.append(entry)
        size += need
    if batch:
        yield batch


def told_wait(answer: Answer) -> float:
    """Any answer may tell a wait, and it binds alike."""
    try:
        wait = float(answer.headers.get("x-retry-in-ms", "0"))
    except ValueError:
        return 0.0
    return wait if 0 < wait < math.inf else 0.0


def load_report(answer: Answer, fields: tuple[str, ...]) -> tuple[float, ...]:
    parts = answer.headers.get("x-load-report", "").split(",")
    pairs = dict(part.split("=", 1) for part in parts if "=" in part)
    try:
        return tuple(float(pairs[name]) for name in fields) if pairs else ()
    except (KeyError, ValueError):
        return ()


def each_state(body: bytes) -> dict[str, str]:
    """A batch answer's states by message id; what can't be read is absent."""
    try:
        rows = json.loads(body)
    except ValueError:
        return {}
    if not isinstance(rows, list):
        return {}
    good = (row for row in rows if isinstance(row, dict))
    return {str(row.get("id")): str(row.get("state")) for row in good}


def read_ending(call: Call, answer: Answer, fields: tuple[str, ...]) -> Ending:
    """PROTOCOL's table. What is not in it may have run."""
    wait, report = told_wait(answer), load_report(answer, fields)
    if answer.status == 200 and len(call.entries) > 1:
        states = each_state(answer.body)
        told = [states.get(entry.id, "") for entry in call.entries]
        return Ending([(EACH.get(state, Outcome.ERROR), state == "over") for state in told], wait, report)
    outcome = WHOLE.get(answer.status, Outcome.ERROR)
    if answer.status == 503 and answer.headers.get("x-no-slot") == "1":
        outcome = Outcome.MOOT
    return Ending([(outcome, answer.status == 410)] * len(call.entries), wait, report)


class Receivers:
    """Makes calls and tells how they ended."""

    def __init__(
        self,
        settings: i.Settings,
        may_write: Callable[[Call], bool],
        ended: Callable[[Call, Ending], None],
        most_idle: int = 256,
    ) -> None:
        self.s, self.may_write, self.ended, self.most_idle = settings, may_write, ended, most_idle
        self.loop = asyncio.get_running_loop()
        self.calls: set[Call] = set()
        self.listed: dict[int, Receiver] = {}

    def update(self, listed: i.Listed, host: str, address: tuple[str, int]) -> None:
        """Take over what the list says of a receiver, now."""
        receiver = self.listed.get(listed.endpoint)
        if receiver is None:
            batch = self.s.kinds[listed.kind].batch
            receiver = self.listed[listed.endpoint] = Receiver(host, address, listed, batch)
        ready = listed.condition is i.Condition.READY
        if not ready or address != receiver.address:
            receiver.close_idle()
        receiver.address, receiver.listed = address, listed
        receiver.told_at = math.inf if ready else min(receiver.told_at, self.loop.time())

    @property
    def idle(self) -> int:
        return sum(len(receiver.idle) for receiver in self.listed.values())

    def start(self, call: Call) -> None:
        self.calls.add(call)
        call.task = self.loop.create_task(self.run(call))

    def close(self) -> None:
        """End all calls, with nothing told any more."""
        self.ended = lambda call, ending: None
        for call in self.calls:
            if call.task is not None:
                call.task.cancel()
        for receiver in self.listed.values():
            receiver.close_idle()

    async def run(self, call: Call) -> None:
        ending, connection = None, None
        try:
            async with asyncio.timeout_at(call.until):
                connection = await self.connect(call.receiver)
                if self.may_write(call):
                    await connection.send(*self.request(call))
                    call.written = True
                    ending = read_ending(call, await connection.answer(), self.s.report_fields)
                else:
                    ending = self.all(call, Outcome.MOOT)
        except TimeoutError:
            ending = self.broken(call, connection, Outcome.TIMEOUT)
        except BROKEN:
            ending = self.broken(call, connection, Outcome.RESET)
        except asyncio.CancelledError:  # called off: the task has nothing else to wait for
            ending = self.all(call, Outcome.CANCELLED if call.written else Outcome.MOOT)
        except Exception:
            log.exception("call to %s failed", call.receiver.host)
            ending = self.broken(call, connection, Outcome.RESET)
        self.finish(call, connection, ending)

    @staticmethod
    def all(call: Call, outcome: Outcome) -> Ending:
        return Ending([(outcome, False)] * len(call.entries))

    def broken(self, call: Call, connection: Connection | None, outcome: Outcome) -> Ending:
        """Whether the last byte was written decides whether it may have run; a head of 200, that it has."""
        # Guards against machines that vanished: what is written on their old connections may have run for all
        # that is known, while a new one that does not come up proves that it never did.
        call.receiver.close_idle()
        if not call.written:
            return self.all(call, Outcome.CONNECT_FAILED)
        if connection is not None and connection.status == 200 and len(call.entries) == 1:
            return self.all(call, Outcome.OK)
        return self.all(call, outcome)

    def finish(self, call: Call, connection: Connection | None, ending: Ending) -> None:
        """Close or keep the connection first: no new try may begin while an old one's is open."""
        call.open = False
        self.calls.discard(call)
        if connection is not None:
            if connection.renew():
                self.keep(call.receiver, connection)
            else:
                connection.close()
        self.ended(call, ending)

    def keep(self, receiver: Receiver, connection: Connection) -> None:
        gone = receiver.listed.condition is not i.Condition.READY
        if gone or self.idle >= self.most_idle or connection.reader.at_eof():
            connection.close()
            return

        def lost(lost: Connection) -> None:
            lost.close()
            if lost in receiver.idle:
                receiver.idle.remove(lost)

        receiver.idle.append(connection)
        # Guards against reuse near the receiver's idle limit: such a request ends as a reset.
        connection.park(self.s.keep_alive / 1000 * IDLE_SHARE, lost)

    async def connect(self, receiver: Receiver) -> Connection:
        while receiver.idle:
            connection = receiver.idle.pop()  # the one used last: the others may grow old and close
            if await connection.unpark():
                return connection
            connection.close()
        async with asyncio.timeout(self.s.connect_timeout / 1000):
            return await Connection.open(receiver.address)

    def request(self, call: Call) -> tuple[str, str, list[tuple[str, str]], bytes]:
        budget = max(1, int((call.until - self.loop.time()) * 1000))
        headers = [("Host", "{}:{}".format(*call.receiver.address)), ("X-Budget-Ms", str(budget))]
        if len(call.entries) > 1:
            headers.append(("Content-Type", "application/json"))
            body = json.dumps([self.item(entry) for entry in call.entries]).encode()
            return "POST", "/v1/messages:batch", headers, body
        entry = call.entries[0]
        headers.append(("X-Call-Id", entry.id))
        if entry.token:
            headers.append(("Idempotency-Key", entry.token))
        return "POST", "/v1/messages", headers, entry.body

    @staticmethod
    def item(entry: Entry) -> dict[str, str]:
        body = base64.b64encode(entry.body).decode()
        return {"id": entry.id} | ({"key": entry.token} if entry.token else {}) | {"body": body}
