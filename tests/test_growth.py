"""Memory: no state is left of a thousand receivers, messages, keys and connections that are gone."""

import asyncio
import sys

import pytest
from peers import (
    DiscoveryServer,
    HttpServer,
    RespClient,
    encode_submission,
    endpoint_entry,
    run_with_timeout,
    wait_until,
)
from test_node import sender
from test_policy import Rig

from rainpier import interface as i

REPLACED = 1000  # receivers, which all leave again


def sizes(owner, names):
    """Returns the length of each named attribute, by name."""
    return {name: len(getattr(owner, name)) for name in names}


def test_no_state_is_kept_of_receivers_messages_and_keys_that_are_gone(tmp_path, monkeypatch):
    """Receivers are replaced under new names at one address; message ids, keys and connections are new."""
    monkeypatch.setattr("rainpier.policy.FORGET_INTERVAL_MS", 0.0)
    monkeypatch.setattr("rainpier.node.node.SWEEP_INTERVAL", 0.02)

    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [("X-Retry-In-Ms", "1")], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            receiver.requests = asyncio.Queue()
            discovery.endpoints = [endpoint_entry("r0", receiver.address)]
            async with sender(tmp_path, discovery) as node:
                for turn in range(REPLACED // 20):
                    async with RespClient(node.port) as client:
                        for n in range(20):
                            cls, key = (("safe", "0"), ("keyed", f"{turn * 20 + n + 1:x}"))[n % 2]
                            assert (
                                await client.request(encode_submission(f"m{turn}-{n}", cls=cls, key=key))
                                == "OK"
                            )
                    await wait_until(lambda: not node.store.entries)
                    gone = [entry | {"health": "DELETED"} for entry in discovery.endpoints[-20:]]
                    fresh = [endpoint_entry(f"r{turn}-{n}", receiver.address) for n in range(20)]
                    discovery.set_endpoints(*gone, *fresh)
                    await wait_until(lambda fresh=fresh: fresh[-1]["host"] in node.endpoints.numbers)
                await wait_until(lambda: len(node.endpoints.numbers) <= 20)
                policy = node.sender
                left = (
                    sizes(policy, ("messages", "calls_by_attempt"))
                    | sizes(node.calls, ("by_message",))
                    | sizes(node.admission, ("pending_by_id", "pending"))
                )
                assert not any(left.values()), left
                queues = sizes(policy.key_queues, ("queues", "messages", "lengths", "paused_until"))
                assert not any(queues.values()), queues
                assert (
                    len(policy.endpoints)
                    == len(node.endpoints.numbers)
                    == len(node.calls.receivers.by_number)
                    == 20
                )
                assert len(policy.states) == len(node.endpoints.destinations) == 1 and not policy.backlogs
                assert [len(routes) for routes in policy.states.values()] == [1]
                await wait_until(lambda: not len(node.calls.retry_after.deadlines))
                assert not node.calls.receivers.calls and len(node.calls.receivers.idle) <= 8
                assert not len(node.completions.overdue) and not node.completions.held_by_destination
                assert not node.endpoints.forgotten and not node.store.numbers and not node.store.entry_sizes
                assert len(asyncio.all_tasks()) < 40 and sys.getrefcount(node) < 100

    run_with_timeout(scenario())


def test_a_new_id_at_the_address_of_a_removed_receiver_is_a_new_receiver(tmp_path, monkeypatch):
    monkeypatch.setattr("rainpier.policy.FORGET_INTERVAL_MS", 0.0)

    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("old", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                assert await client.request(encode_submission("one")) == "OK"
                await receiver.next_request()
                discovery.set_endpoints(
                    endpoint_entry("old", receiver.address, health="DELETED"),
                    endpoint_entry("new", receiver.address),
                )
                await wait_until(
                    lambda: "new" in node.endpoints.numbers and "old" not in node.endpoints.numbers
                )
                assert await client.request(encode_submission("two")) == "OK"
                assert (await receiver.next_request())[1][b"x-call-id"] == b"two"
                assert receiver.connections_accepted == 2  # the connection of the old receiver was not used

    run_with_timeout(scenario())


def test_a_call_may_end_after_its_receiver_was_removed(tmp_path, monkeypatch):
    monkeypatch.setattr("rainpier.policy.FORGET_INTERVAL_MS", 0.0)

    async def scenario():
        response = asyncio.get_running_loop().create_future()
        async with HttpServer(lambda request, body: response) as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                assert await client.request(encode_submission("one", cls="unsafe")) == "OK"
                await receiver.next_request()
                discovery.set_endpoints(
                    endpoint_entry("r1", receiver.address, health="DELETED"),
                    endpoint_entry("r9", "127.0.0.1:1", destination=9),
                )
                await wait_until(lambda: "r9" in node.endpoints.numbers)
                await asyncio.sleep(0.2)
                assert "r1" in node.endpoints.numbers  # kept while its call is open
                response.set_result((200, [], b""))
                await wait_until(lambda: not node.store.entries and "r1" not in node.endpoints.numbers)
                assert discovery.notifications.empty()

    run_with_timeout(scenario())


@pytest.mark.parametrize("down", [False, True])
def test_removed_routes_of_an_apart_kind_are_forgotten_once_nothing_holds_them(down):
    """Each replaced receiver left its route behind.

    `down`: the routes have an outage, which keeps them for a while.
    """
    rig = Rig(kinds=(i.Kind("routes", apart=True),))
    gone = i.Condition.GONE
    for endpoint in range(100, 100 + REPLACED):
        rig.do(
            i.ListChange(
                i.ListKind.DELTA,
                (i.EndpointEntry(endpoint, 1), i.EndpointEntry(endpoint - 1, 1, condition=gone)),
            )
        )
        rig.sender.activate(1)
        if down:
            (route,) = [r for r in rig.sender.states[1] if r.endpoints[0].entry.endpoint == endpoint]
            route.consecutive_failures, route.last_sent_at, route.slow_start_at = 3, rig.now, rig.now
    for _ in range(REPLACED // 40):  # some are released in each round
        rig.do(after=100.0)
    assert len(rig.sender.states[1]) >= REPLACED if down else len(rig.sender.states[1]) <= 3
    rig.run(60_000)
    # no route if the destination is idle and compacted
    assert len(rig.sender.endpoints) <= 3 and len(rig.sender.states.get(1, ())) <= 3
    assert (
        len(rig.sender.destination_of) <= 3
        and not rig.sender.departed_endpoints
        and not rig.sender.emptied_destinations
    )
