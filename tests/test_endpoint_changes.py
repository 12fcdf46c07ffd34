"""Endpoints that change their destination or their kind, and with it the limits that they share."""

import asyncio
import json

import pytest
from peers import (
    DiscoveryServer,
    HttpServer,
    RespClient,
    encode_submission,
    endpoint_entry,
    make_config,
    make_node,
    run_with_timeout,
    wait_until,
)
from sidecars import SidecarProcess, make_config_text
from test_process import Process, call_id

from rainpier.interface import ListKind, Remembered
from rainpier.membership.platform import parse_endpoint

WAIT_S = 2.0  # that a receiver asks for
WAIT_OVER_SHUTDOWN_S = 5.0  # the same where the sender gets SIGTERM, after which it serves on for 3 s


class WaitingReceiver(HttpServer):
    """Refuses its first call and asks for a wait; `calls` has the loop time (s) and the id of each call."""

    def __init__(self, wait_s=WAIT_S):
        super().__init__(self.respond)
        self.calls, self.wait_s = [], wait_s

    def respond(self, request, body):
        """Handler: refuses the first call, and accepts all others."""
        now, headers = asyncio.get_running_loop().time(), dict(request.headers)
        self.calls.append((now, headers[b"x-call-id"].decode()))
        return (
            (429, [("X-Retry-In-Ms", str(int(self.wait_s * 1000)))], b"")
            if len(self.calls) == 1
            else (200, [], b"")
        )

    async def check_wait(self, name):
        """Waits for a call with the message; checks that none but the first came before the end of the wait."""
        await wait_until(lambda: name in [called for _, called in self.calls])
        (refused_at, _), *later = self.calls
        assert min(at for at, _ in later) >= refused_at + self.wait_s


def file_with_kind(receiver, apart):
    """Returns a sidecar's file with one destination, whose kind has separate routes or not."""
    text = make_config_text({"alpha": (1, [receiver.address])})
    return text + f"\n[kind.partner]\napart = {json.dumps(apart)}\n"


# Guards against a wait that is forgotten since the store has it for the destination and the endpoint has its own
# route now, or the reverse.
@pytest.mark.parametrize("change", ["restart", "kill"])
@pytest.mark.parametrize("apart", [True, False])
def test_a_wait_outlasts_a_start_at_which_the_kind_has_other_routes(tmp_path, apart, change):
    async def scenario():
        async with WaitingReceiver(WAIT_S if change == "kill" else WAIT_OVER_SHUTDOWN_S) as receiver:
            async with SidecarProcess(tmp_path, file_with_kind(receiver, apart)) as sidecar:
                async with RespClient(sidecar.port) as client:
                    assert await client.request(encode_submission("refused", destination=1)) == "OK"
                await wait_until(lambda: receiver.calls)
                # Until the refusal is applied, which the log doesn't show.
                await sidecar.wait_for_status(lambda status: not status["out"])
                if change == "kill":
                    await sidecar.kill()
                else:
                    sidecar.process.terminate()
                    await sidecar.process.wait()
            async with SidecarProcess(tmp_path, file_with_kind(receiver, not apart)) as sidecar:
                async with RespClient(sidecar.port) as client:
                    assert await client.request(encode_submission("new", destination=1)) == "OK"
                await receiver.check_wait("new")

    run_with_timeout(scenario())


# Guards against the same over two edits of a running sidecar, after which the destination has another id.
def test_a_wait_outlasts_a_destination_that_comes_back_under_another_number(tmp_path):
    async def scenario():
        async with WaitingReceiver() as receiver:
            other = {"beta": (2, ["127.0.0.1:1"])}
            text = make_config_text(other | {"alpha": (1, [receiver.address])})
            async with SidecarProcess(tmp_path, text) as sidecar, RespClient(sidecar.port) as client:
                assert await client.request(encode_submission("refused", destination=1)) == "OK"
                await wait_until(lambda: receiver.calls)
                await sidecar.wait_for_status(lambda status: not status["out"])
                assert (await sidecar.reload(make_config_text(other)))["result"] == "applied"
                text = make_config_text(other | {"alpha": (7, [receiver.address])})
                assert (await sidecar.reload(text))["result"] == "applied"
                assert await client.request(encode_submission("new", destination=7)) == "OK"
                await receiver.check_wait("new")

    run_with_timeout(scenario())


# Guards against an outage that is forgotten by the same edit, so that a recovering endpoint gets full traffic.
@pytest.mark.parametrize(("stored", "kind", "moved"), [
    ({"d3": 5.0}, "routes", {"rr1": 5.0, "rr2": 5.0}), ({"rr1": 5.0}, "single", {"d3": 5.0}),
    ({"d3": 5.0}, "single", {"d3": 5.0}), ({"rr1": 5.0}, "routes", {"rr1": 5.0}),
])  # fmt: skip
def test_an_outage_follows_to_the_routes_of_another_kind(tmp_path, stored, kind, moved):
    async def scenario():
        async with DiscoveryServer() as discovery:
            earlier = make_node(make_config(tmp_path, discovery))
            for route, since in stored.items():
                earlier.store.record_outage(route, since)
            earlier.close()
            node = make_node(make_config(tmp_path, discovery))
            told = []
            node.core.push = told.append
            entries = [endpoint_entry(name, "127.0.0.1:1", kind=kind) for name in ("r1", "r2")]
            node.endpoints.apply(ListKind.FULL, [parse_endpoint(entry) for entry in entries])
            down = [event.endpoint for event in told if isinstance(event, Remembered) and event.down]
            assert len(down) == len(moved) and node.store.state.outages == moved
            node.close()

    run_with_timeout(scenario())


# Guards against the same where discovery lists the endpoint with another kind.
@pytest.mark.parametrize(
    ("before", "after"), [("single", "routes"), ("routes", "single"), ("routes", "bulk")]
)
def test_a_wait_outlasts_a_change_of_the_endpoints_kind(tmp_path, before, after):
    async def scenario():
        async with WaitingReceiver() as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry("r1", receiver.address, kind=before)]
            async with Process(tmp_path, discovery) as sender, RespClient(sender.port) as client:
                assert await client.request(encode_submission("refused")) == "OK"
                await wait_until(lambda: receiver.calls)
                discovery.set_endpoints(endpoint_entry("r1", receiver.address, kind=after))
                assert await client.request(encode_submission("new")) == "OK"
                await receiver.check_wait("new")

    run_with_timeout(scenario())


# Guards against an endpoint that is healthy again for the policy because its kind changes during an outage.
def test_an_outage_outlasts_a_change_of_the_endpoints_kind(tmp_path):
    async def scenario():
        async with DiscoveryServer() as discovery:
            node = make_node(make_config(tmp_path, discovery))
            told = []
            node.core.push = told.append
            for kind in ("routes", "single"):
                entries = [parse_endpoint(endpoint_entry("r1", "127.0.0.1:1", kind=kind))]
                node.endpoints.apply(ListKind.DELTA, entries)
                assert [e.endpoint for e in told if isinstance(e, Remembered)] == (
                    [2] if kind == "single" else []
                )
                node.store.record_outage("rr1", 5.0)
            node.close()

    run_with_timeout(scenario())


# Guards against an endpoint that keeps the batch size of its former kind.
def test_an_endpoint_that_changes_its_kind_gets_calls_of_the_new_size(tmp_path):
    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address, kind="bulk")]
            async with Process(tmp_path, discovery) as sender, RespClient(sender.port) as client:
                assert await client.request(encode_submission("first")) == "OK"
                assert (await receiver.next_request())[0] == "/v1/messages"
                discovery.set_endpoints(endpoint_entry("r1", receiver.address, kind="single"))
                await wait_until(lambda: discovery.update_requests[-1][0].startswith("/v1/servers?index=2"))
                names = [f"m{n}" for n in range(8)]
                client.writer.write(b"".join(encode_submission(name) for name in names))
                requests = [await receiver.next_request() for _ in names]
                assert sorted(call_id(request) for request in requests) == names

    run_with_timeout(scenario())


# Guards against an endpoint that serves neither its former destination nor its new one.
def test_an_endpoint_that_changes_its_destination_serves_the_new_one(tmp_path):
    async def scenario():
        moved, calls = False, []

        def respond(request, body):
            calls.append((dict(request.headers)[b"x-call-id"].decode(), moved))
            return 200 if moved else 503, [], b""

        async with HttpServer(respond) as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry("r1", receiver.address, destination=3)]
            async with Process(tmp_path, discovery) as sender, RespClient(sender.port) as client:
                assert await client.request(encode_submission("for-3", deadline_ms=2000)) == "OK"
                await wait_until(lambda: calls)
                discovery.set_endpoints(endpoint_entry("r1", receiver.address, destination=4))
                await wait_until(lambda: discovery.update_requests[-1][0].startswith("/v1/servers?index=2"))
                moved = True
                assert await client.request(encode_submission("for-4", destination=4)) == "OK"
                await wait_until(lambda: ("for-4", True) in calls)
                notification = await discovery.next_notification()
                assert (notification["message"], notification["outcome"]) == ("for-3", "handed_back")
                assert ("for-3", True) not in calls
            assert b"may not be sent now" not in sender.log

    run_with_timeout(scenario())


INVALID_FIELDS = [
    {"kind": "unknown"}, {"kind": ""}, {"address": "nowhere"}, {"address": ""}, {"rate": float("nan")}, {"destination": -1},
    {"health": "UNHEARD"},
]  # fmt: skip


# Guards against a drain that is missed since its entry names a kind that no list has, or has another invalid field.
@pytest.mark.parametrize("health", ["DRAINING", "DELETED", "SERVING"])
def test_a_known_endpoint_whose_entry_is_invalid_gets_no_more_calls(tmp_path, health):
    """Each endpoint has a destination of its own, and another invalid field in its second entry."""

    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            entries = [
                {"name": f"r{n}", "address": receiver.address, "destination": n}
                for n in range(len(INVALID_FIELDS))
            ]
            discovery.endpoints = [endpoint_entry(**entry) for entry in entries]
            async with Process(tmp_path, discovery) as sender, RespClient(sender.port) as client:
                for n, _ in enumerate(entries):
                    assert await client.request(encode_submission(f"first-{n}", destination=n)) == "OK"
                    assert call_id(await receiver.next_request()) == f"first-{n}"
                changed = [
                    entry | {"health": health} | invalid
                    for entry, invalid in zip(entries, INVALID_FIELDS, strict=True)
                ]
                discovery.set_endpoints(*(endpoint_entry(**entry) for entry in changed))
                await wait_until(lambda: discovery.update_requests[-1][0].startswith("/v1/servers?index=2"))
                for n, _ in enumerate(entries):
                    await client.request(encode_submission(f"second-{n}", deadline_ms=300, destination=n))
                await asyncio.sleep(0.5)
                assert receiver.requests.empty()

    run_with_timeout(scenario())
