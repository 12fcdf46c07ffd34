"""What is held keeps its class, tenant and kind when the platform lists them in another order, or no longer."""

import asyncio

import pytest
from peers import (
    SETTINGS,
    DiscoveryServer,
    HttpServer,
    RespClient,
    encode_submission,
    endpoint_entry,
    run_with_timeout,
)
from test_process import Process, call_id

TENANTS = [{"name": "north", "quota-per-s": 1.0}, {"name": "south", "quota-per-s": 2.0}]
FAMILY = SETTINGS["family-info"]
REVERSED = {
    "classes": SETTINGS["classes"][::-1], "kinds": SETTINGS["kinds"][::-1], "tenants": TENANTS[::-1],
    "family-info": FAMILY | {name: FAMILY[name][::-1] for name in ("per-call", "kind-apart")},
}  # fmt: skip
# A class put first that has the effect of none of the others' positions, and no tenants any more.
EXTENDED = {"classes": [SETTINGS["classes"][2] | {"name": "new"}, *SETTINGS["classes"]], "tenants": []}
CLASSES = ("safe", "keyed", "unsafe")


class HoldingReceiver(HttpServer):
    """Answers nothing until `release`, and 200 after it; `calls` has the ids of all calls."""

    def __init__(self):
        super().__init__(self.respond)
        self.calls, self.released = [], asyncio.Event()

    async def respond(self, request, body):
        """Handler: waits for the release."""
        self.calls.append(dict(request.headers)[b"x-call-id"].decode())
        await self.released.wait()
        return 200, [], b""


async def hold_one_of_each_class(sender, receiver):
    """Submits a message of each class, and waits until all of them are called."""
    async with RespClient(sender.port) as client:
        for name in CLASSES:
            fields = ",k=token,t=south"
            submission = encode_submission(
                name, name, key="7" if name == "keyed" else "0" * 16, extra_fields=fields
            )
            assert await client.request(submission) == "OK"
    assert sorted([call_id(await receiver.next_request()) for _ in CLASSES]) == sorted(CLASSES)


# Guards against a charge that is repeated since its class has the position of another one, and the reverse.
@pytest.mark.parametrize("change", [REVERSED, EXTENDED])
def test_messages_in_flight_at_a_kill_keep_their_class_over_another_list(tmp_path, change):
    async def scenario():
        async with HoldingReceiver() as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with Process(tmp_path, discovery, tenants=TENANTS) as sender:
                await hold_one_of_each_class(sender, receiver)
                await sender.kill()
            receiver.released.set()
            async with Process(tmp_path, discovery, **({"tenants": TENANTS} | change)) as sender:
                assert await discovery.next_notification() == {"message": "unsafe", "outcome": "given_up"}
                repeated = [call_id(await receiver.next_request()) for _ in range(2)]
                assert sorted(repeated) == ["keyed", "safe"]
            assert receiver.calls.count("unsafe") == 1 and discovery.notifications.empty()

    run_with_timeout(scenario())


# Guards against a message that is sent by the rules of another class, or an endpoint that is used as one of another
# kind, when their own is not listed any more.
def test_messages_of_a_class_that_is_gone_are_given_up_and_an_endpoint_of_a_kind_that_is_gone_is_not_called(
    tmp_path,
):
    async def scenario():
        async with HoldingReceiver() as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [
                endpoint_entry("r1", receiver.address),
                endpoint_entry("r2", receiver.address, 4, "bulk"),
            ]
            async with Process(tmp_path, discovery) as sender:
                await hold_one_of_each_class(sender, receiver)
                await sender.kill()
            receiver.released.set()
            left = {"classes": SETTINGS["classes"][1:], "kinds": ["single", "routes"]}
            async with Process(tmp_path, discovery, **left) as sender:
                notified = [await discovery.next_notification() for _ in range(2)]
                assert sorted(row["message"] for row in notified) == ["safe", "unsafe"]
                assert {row["outcome"] for row in notified} == {"given_up"}
                assert call_id(await receiver.next_request()) == "keyed"
                async with RespClient(sender.port) as client:
                    submission = encode_submission("for-4", "unsafe", destination=4)
                    assert (await client.request(submission)).startswith("-")
                assert receiver.calls.count("safe") == receiver.calls.count("unsafe") == 1

    run_with_timeout(scenario())
