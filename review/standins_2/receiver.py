"""A receiver: one endpoint of a destination, which runs the calls that it gets."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from .http import RESET, SILENCE, HttpServer, Request, Response
from .record import Record


@dataclass
class Call:
    """One message in a call; times are those of the record."""

    message: str
    began: float
    ended: float
    number: int  # of the calls with this message at this receiver, from 1
    key: str = ""
    body: bytes = b""


Behaviour = Callable[[Call], Awaitable[Response]]


async def deliver(call: Call) -> Response:
    """Runs the message in 50 ms and answers 200."""
    await asyncio.sleep(0.05)
    return Response(200)


@dataclass
class Calls:
    """The calls that a receiver got, in their order."""

    all: list[Call] = field(default_factory=list)

    def of(self, message: str) -> list[Call]:
        """Returns the calls with one message."""
        return [call for call in self.all if call.message == message]


class Receiver(HttpServer):
    """Serves calls with `behaviour`, which decides on each message of a batch too."""

    def __init__(self, record: Record, name: str, behaviour: Behaviour = deliver) -> None:
        super().__init__(self.handle)
        self.record, self.name, self.behaviour, self.calls = record, name, behaviour, Calls()
        self.given_up: list[float] = []  # the record's times at which the sender gave up a call

    async def handle(self, request: Request) -> Response:
        """Serves one call."""
        if request.target == "/v1/messages:batch":
            rows = json.loads(request.body)
            responses = [
                await self.serve_message(
                    request, row["id"], row.get("key", ""), base64.b64decode(row["body"])
                )
                for row in rows
            ]
            alike = {response.status for response in responses}
            if len(alike) == 1 and responses[0].status != 200:
                return responses[0]
            states = {200: "delivered", 500: "failed"}
            answer = [
                {"id": row["id"], "state": states.get(response.status, "refused")}
                for row, response in zip(rows, responses, strict=True)
            ]
            return Response(200, json.dumps(answer).encode())
        headers = request.headers
        return await self.serve_message(
            request, headers["x-call-id"], headers.get("idempotency-key", ""), request.body
        )

    async def serve_message(self, request: Request, message: str, key: str, body: bytes) -> Response:
        """Records one message and returns what the behaviour answers."""
        offset = self.record.now - asyncio.get_running_loop().time()
        number = len(self.calls.of(message)) + 1
        call = Call(message, request.began + offset, request.ended + offset, number, key, body)
        self.calls.all.append(call)
        self.record.write(self.name, f"gets {message}, call {number} with it, key {key or '-'}")
        response = await self.behaviour(call)
        special = {RESET.status: "resets the connection of", SILENCE.status: "hangs, and never answers"}
        what = special.get(response.status, f"answers {response.status} to")
        self.record.write(self.name, f"{what} {message}, call {number}")
        return response

    def on_given_up(self, request: Request) -> None:
        """Notes that the sender gave up a call."""
        self.given_up.append(self.record.now)
        self.record.write(self.name, "sees that the sender has closed the connection of its call")
