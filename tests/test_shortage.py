"""A complete node with destinations that accept less than usual for a while."""

import asyncio

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

from rainpier import destination, policy
from rainpier.carriers.http.receivers import Receivers


class LimitedReceiver:
    """An HttpServer handler: responds 503 while `refusing` is true, else 200, and counts both."""

    def __init__(self):
        self.refusing, self.refused, self.accepted = False, 0, 0

    def __call__(self, request, body):
        if self.refusing:
            self.refused += 1
            return 503, [], b""
        self.accepted += 1
        return 200, [], b""


async def submit(client, first, count):
    """Submits `count` messages, m<first> and following."""
    for n in range(first, first + count):
        assert await client.request(encode_submission(f"m{n}")) == "OK"


def test_send_rate_recovers_within_seconds_after_a_limit_is_lifted(tmp_path, monkeypatch):
    """Issue 7: receivers had low limits for ten seconds.

    The waiting messages then had to wait seven more seconds for the send rate to recover.
    """
    monkeypatch.setattr(destination, "DECREASE_INTERVAL_MS", 20.0)

    async def scenario():
        limit = LimitedReceiver()
        async with HttpServer(limit) as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry("r1", receiver.address, rate=120.0)]
            async with sender(tmp_path, discovery, weights="rough") as node, RespClient(node.port) as client:
                await submit(client, 0, 3)
                await wait_until(lambda: limit.accepted == 3)
                (route,) = node.sender.states[3]
                limit.refusing = True
                await submit(client, 3, 90)
                await wait_until(lambda: route.rate < 3)
                assert not route.circuit_open
                limit.refusing = False
                await wait_until(lambda: limit.accepted >= 60)

    run_with_timeout(scenario())


def test_endpoint_that_failed_once_is_called_again_beside_another_endpoint(tmp_path):
    """The other endpoint got all calls from then on; slots stayed free while hundreds of messages waited."""

    async def scenario():
        failed = []

        def responder(name):
            def respond(request, body):
                if failed:
                    return 200, [], b""
                failed.append(name)
                return None

            return respond

        async with (
            HttpServer(responder("r1")) as first,
            HttpServer(responder("r2")) as second,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", first.address), endpoint_entry("r2", second.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                assert await client.request(encode_submission("first")) == "OK"
                await wait_until(lambda: failed)
                receiver = first if failed == ["r1"] else second
                await receiver.next_request()
                count = 0
                while receiver.requests.empty():
                    count += 1
                    assert count < 200
                    assert await client.request(encode_submission(f"m{count}")) == "OK"
                    await wait_until(lambda: not node.calls.by_message)
                    await asyncio.sleep(0.02)

    run_with_timeout(scenario())


def test_refusing_endpoint_does_not_attract_the_calls_while_another_has_capacity(tmp_path):
    """Incident rb42964: a draining endpoint, which refused at once, was never busy and got all the calls."""

    async def scenario():
        names = []

        def responder(name):
            def respond(request, body):
                names.append(name)
                # the endpoint that was called first refuses
                return (503 if name == names[0] else 200), [], b""

            return respond

        async with (
            HttpServer(responder("r1")) as first,
            HttpServer(responder("r2")) as second,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [
                endpoint_entry("r1", first.address, rate=40.0),
                endpoint_entry("r2", second.address, rate=40.0),
            ]
            async with sender(tmp_path, discovery, weights="rough") as node, RespClient(node.port) as client:
                await submit(client, 0, 12)
                await wait_until(lambda: len(names) - names.count(names[0]) == 12)
                assert names.count(names[0]) < 10

    run_with_timeout(scenario())


def test_connection_reuse_resumes_when_new_connections_break_as_often(tmp_path, monkeypatch):
    """Reuse was suspended after a few random failures.

    For ten seconds each call then had to open a connection, while slots were scarce.
    """
    monkeypatch.setattr(policy, "UNTRUSTED_MS", 60_000.0)

    async def scenario():
        # `accepted`: connections at the last request; `breaks`: which connections break, kept or new ones;
        # `reused`: for each request, whether it came on a connection that carried one before
        state, reused = {"accepted": 0, "breaks": "kept"}, []

        def respond(request, body):
            reused.append(receiver.connections_accepted == state["accepted"])
            state["accepted"] = receiver.connections_accepted
            breaks = {"kept": reused[-1], "new": not reused[-1] and len(reused) % 2}[state["breaks"]]
            return None if breaks else (200, [], b"")

        async with HttpServer(respond) as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:

                async def submit_until(condition, name):
                    """Submits messages, each after the call of the one before, until `condition()`."""
                    for n in range(300):
                        if condition():
                            return
                        assert await client.request(encode_submission(f"{name}{n}")) == "OK"
                        await wait_until(lambda: not node.calls.by_message)
                    raise AssertionError(f"not within 300 messages: {name}")

                await submit_until(lambda: len(reused) > 8 and not any(reused[-8:]), "worn")
                state["breaks"] = "new"
                await submit_until(lambda: all(reused[-6:]), "again")

    run_with_timeout(scenario())


def test_silent_destination_is_detected_although_its_calls_are_cancelled_while_connecting(
    tmp_path, monkeypatch
):
    """Fault run rude+garble+fleet: calls were cancelled after a second, which is also the connect timeout.

    Calls that were cancelled first did not count as failures, and the destination held a third of all slots.
    """
    monkeypatch.setattr(policy, "MIN_TIMEOUT_MS", 100.0)

    async def scenario():
        async def hang(self, receiver):
            await asyncio.get_running_loop().create_future()

        monkeypatch.setattr(Receivers, "connect", hang)
        async with DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry(f"r{n}", "127.0.0.1:1", destination=n) for n in (3, 4, 5)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                for n in range(300):  # more than there are slots, with a round for each
                    await client.request(encode_submission(f"m{n}", destination=3 + n % 3))
                    if n > 20 and all(node.sender.states[dest][0].circuit_open for dest in (3, 4, 5)):
                        return
                    await asyncio.sleep(0.01)
                raise AssertionError(
                    "after 300 messages the circuit breaker of a silent destination is closed"
                )

    run_with_timeout(scenario())
