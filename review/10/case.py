"""A restart while a key rests: it rests for `turn-gap` after a reset, over the restart too."""

import asyncio

from standins_2.agent import Agent, endpoint
from standins_2.case import Case, run_case
from standins_2.client import Client
from standins_2.http import RESET, Response
from standins_2.receiver import Call, Receiver
from standins_2.settings import settings

TURN_GAP_S = 3.0
SLACK_S = 0.05  # each time limit is 50 ms longer on sockets
KEY = "000000000000002a"


async def scenario(case: Case) -> None:
    """Resets the first call of order-1, lets it pass at its second one, and kills the sender then."""
    reset_at: list[float] = []

    async def serve(call: Call) -> Response:
        if call.message == "order-1" and call.number == 1:
            reset_at.append(case.record.now)
            return RESET
        await asyncio.sleep(0.05)
        return Response(200)

    receiver = Receiver(case.record, "r1", serve)
    await receiver.start()
    agent = Agent(case.record, [endpoint("r1", receiver.address, 3)])
    await agent.start()
    config = settings()
    config["rules"]["turn-gap"] = TURN_GAP_S * 1000
    sender = case.sender(config, agent.address)
    sender.write_configuration(sender.configuration(agent.known()))
    await sender.start()
    client = Client(case.record, sender.port)
    assert await client.put("order-1", "render-order", 20000, 3, KEY, "token-1")
    assert await client.put("order-2", "render-order", 20000, 3, KEY, "token-2")
    async with asyncio.timeout(20):
        while len(receiver.calls.of("order-1")) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        if case.trouble:
            await sender.restart()
        while not receiver.calls.of("order-2"):
            await asyncio.sleep(0.01)
    rest = receiver.calls.of("order-2")[0].began - reset_at[0]
    case.record.write("case", f"order-2 went {rest:.3f} s after the reset of order-1")
    if rest < TURN_GAP_S - SLACK_S:
        case.breaks(f"order-2 went {rest:.3f} s after the reset of order-1; the key rests for {TURN_GAP_S} s")
    receiver.close()
    agent.close()


if __name__ == "__main__":
    run_case(__file__, scenario)
