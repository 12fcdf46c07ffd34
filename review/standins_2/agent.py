"""The platform's agent: discovery and notices, as the page PROTOCOL describes them."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from .http import HttpServer, Request, Response
from .record import Record


def endpoint(
    host: str,
    dial: str,
    block: int,
    kind: str = "small-customer",
    health: str = "SERVING",
    share: float = 50.0,
) -> dict[str, object]:
    """Returns one entry of discovery's list."""
    return {
        "host": host, "dial": dial, "site": "floor-2", "class": kind, "block": block, "health": health,
        "share": share, "born_ms": 0,
    }  # fmt: skip


class Agent(HttpServer):
    """Answers calls for the list, watches, and notices.

    `silent`: discovery is down; calls for the list get no answer until it is back, notices do.
    `refusals`: so many further calls for the list are refused (503).
    `told`: by host and health, the record's time at which an answer with that entry was written first.
    `notices`: by message id, the outcomes and the record's times of the notices that were answered.
    """

    def __init__(self, record: Record, hosts: list[dict[str, object]], name: str = "agent") -> None:
        super().__init__(self.handle)
        self.record, self.name = record, name
        self.hosts = {str(entry["host"]): entry for entry in hosts}
        self.changed_at = dict.fromkeys(self.hosts, 1)
        self.version = 1
        self.changes = asyncio.Event()
        self.silent, self.refusals = False, 0
        self.told: dict[tuple[str, str], float] = {}
        self.notices: dict[str, list[tuple[str, float]]] = {}

    def known(self) -> dict[str, object]:
        """Returns the whole list in discovery's form."""
        return {"seq": self.version, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, entry: dict[str, object]) -> None:
        """Adds or changes an entry; watches are answered with it."""
        self.version += 1
        host = str(entry["host"])
        self.hosts[host] = entry
        self.changed_at[host] = self.version
        self.record.write(self.name, f"has version {self.version}: {host} is {entry['health']}")
        self.wake()

    def set_silent(self, silent: bool) -> None:
        """Takes discovery down, or brings it back."""
        self.silent = silent
        self.record.write(self.name, "discovery is down" if silent else "discovery is back")
        self.wake()

    def wake(self) -> None:
        """Lets pending calls look again."""
        self.changes.set()
        self.changes = asyncio.Event()

    async def handle(self, request: Request) -> Response:
        """Answers one request."""
        target = urlsplit(request.target)
        if request.method == "POST" and target.path == "/reports":
            return self.take_notices(request.body)
        if target.path != "/v1/servers":
            return Response(404)
        query = parse_qs(target.query)
        self.record.write(self.name, f"is asked: {request.target}")
        if self.refusals > 0:
            self.refusals -= 1
            self.record.write(self.name, "refuses the call: 503")
            return Response(503)
        return await self.answer_list(query)

    async def answer_list(self, query: dict[str, list[str]]) -> Response:
        """Answers a call for the whole list or a watch."""
        loop = asyncio.get_running_loop()
        watch = "index" in query
        index = int(query["index"][0]) if watch else 0
        until = loop.time() + int(query.get("wait", ["0"])[0]) / 1000
        while self.silent or watch and self.version <= index and loop.time() < until:
            waiting = None if self.silent else until - loop.time()
            try:
                await asyncio.wait_for(self.changes.wait(), waiting)
            except TimeoutError:
                continue
        rows = [entry for host, entry in self.hosts.items() if not watch or self.changed_at[host] > index]
        for entry in rows:
            self.told.setdefault((str(entry["host"]), str(entry["health"])), self.record.now)
        rows = rows if watch else [entry for entry in rows if entry["health"] != "DELETED"]
        states = ", ".join(f"{entry['host']} {entry['health']}" for entry in rows)
        self.record.write(self.name, f"answers with version {self.version}: {states or 'no change'}")
        return Response(200, json.dumps({"seq": self.version, "whole": not watch, "hosts": rows}).encode())

    def take_notices(self, body: bytes) -> Response:
        """Takes notices; answers at once, also while discovery is down."""
        for line in body.splitlines():
            notice = json.loads(line)
            self.notices.setdefault(notice["message"], []).append((notice["outcome"], self.record.now))
            self.record.write(self.name, f"gets notice {line.decode()}")
        return Response(204)
