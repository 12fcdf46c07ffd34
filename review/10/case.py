"""A receiver hangs with a call of several messages: the key of one of them rests after the call is given up.

One of the messages in the call is of a class in order, and its time is up while the call goes on for the
others. The next message of its key may go only once the sender has given up the call and the key has rested
for `turn-gap`. The receiver's work on the call runs on for a while, so that it ends within that rest.
"""

import asyncio

from standins_2.agent import Agent, endpoint
from standins_2.case import Case, run_case
from standins_2.client import Client
from standins_2.http import SILENCE, Request, Response
from standins_2.receiver import Call, Receiver
from standins_2.settings import settings

TURN_GAP_S = 1.0
SLACK_S = 0.05  # each time limit is 50 ms longer on sockets
KEY = "000000000000002a"
WAIT_MS = 600
RUNS_ON_S = 0.5  # after a call is given up, until its messages have run


class Destination:
    """What both receivers of the destination do: the first call is told to wait, the next one hangs."""

    def __init__(self, trouble: bool) -> None:
        self.trouble = trouble
        self.told_to_wait = False
        self.runs: list[str] = []  # the messages in the order in which they ran
        self.hanging: list[str] = []  # the messages of the call that hangs

    async def serve(self, call: Call) -> Response:
        """Answers a message of a call."""
        if not self.told_to_wait:
            self.told_to_wait = True
            return Response(429, b"", (("X-Retry-In-Ms", str(WAIT_MS)),))
        if self.trouble and call.message in ("notice-1", "notice-2", "order-1") and call.number <= 2:
            self.hanging.append(call.message)
            return SILENCE
        await asyncio.sleep(0.05)
        self.runs.append(call.message)
        return Response(200)


class HangingReceiver(Receiver):
    """A receiver whose work on a call runs on when the sender has given it up."""

    def __init__(self, case: Case, name: str, destination: Destination) -> None:
        super().__init__(case.record, name, destination.serve)
        self.destination = destination
        self.work: list[asyncio.Task] = []

    def on_given_up(self, request: Request) -> None:
        """Lets the work on the call run on."""
        super().on_given_up(request)
        self.work.append(asyncio.create_task(self.run_on()))

    async def run_on(self) -> None:
        """Runs the messages of the call that hung."""
        await asyncio.sleep(RUNS_ON_S)
        self.destination.runs += self.destination.hanging
        self.record.write(self.name, f"has run what hung: {', '.join(self.destination.hanging)}")


async def scenario(case: Case) -> None:
    """Lets messages wait together, so that they go in one call, and hangs in it."""
    destination = Destination(case.trouble)
    receivers = [HangingReceiver(case, name, destination) for name in ("r1", "r2")]
    for receiver in receivers:
        await receiver.start()
    kind = "bulk-platform"
    agent = Agent(case.record, [endpoint(receiver.name, receiver.address, 3, kind) for receiver in receivers])
    await agent.start()
    config = settings()
    config["rules"]["turn-gap"] = TURN_GAP_S * 1000
    sender = case.sender(config, agent.address)
    sender.write_configuration(sender.configuration(agent.known()))
    await sender.start()
    client = Client(case.record, sender.port)
    assert await client.put("notice-1", "thumb-ready", 20000, 3)
    await asyncio.sleep(0.1)
    assert await client.put("notice-2", "thumb-ready", 20000, 3)
    assert await client.put("order-1", "render-order", 1500, 3, KEY, "token-1")
    assert await client.put("order-2", "render-order", 20000, 3, KEY, "token-2")
    async with asyncio.timeout(20):
        while not any(receiver.calls.of("order-2") for receiver in receivers):
            await asyncio.sleep(0.01)
    began = min(call.began for receiver in receivers for call in receiver.calls.of("order-2"))
    await asyncio.sleep(1)
    case.record.write("case", f"ran, in this order: {', '.join(destination.runs)}")
    for receiver in receivers:
        if receiver.calls.of("order-1") and receiver.given_up:
            rest = began - receiver.given_up[0]
            case.record.write("case", f"order-2 went {rest:.3f} s after the call of order-1 was given up")
            if rest < TURN_GAP_S - SLACK_S:
                case.breaks(
                    f"order-2 went {rest:.3f} s after the call with order-1 was given up without an answer; "
                    f"the key rests for {TURN_GAP_S} s"
                )
    for receiver in receivers:
        receiver.close()
    agent.close()


if __name__ == "__main__":
    run_case(__file__, scenario)
