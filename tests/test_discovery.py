"""Requests to endpoint discovery by many senders at the same time, some of which it refuses as overloaded."""

import asyncio
import json
import random
import tracemalloc

import pytest
from peers import endpoint_entry

from rainpier.carriers.http.exchange import Response
from rainpier.membership import platform
from rainpier.membership.platform import MAX_BODY, Discovery, decode

EMPTY_UPDATE = json.dumps({"seq": 7, "whole": False, "hosts": []}).encode()


class ScriptedClient:
    """A Client that responds with the given statuses, then leaves the watch pending.

    `targets`: of all requests. `pauses`: s between them, as run_discovery records them. `done`: set once all
    statuses were used.
    """

    def __init__(self, statuses):
        self.statuses, self.targets, self.pauses, self.done = list(statuses), [], [], asyncio.Event()

    async def request(self, method, target, body, timeout, io_timeout=None):
        """Records the target and responds with the next status."""
        self.targets.append(target)
        if not self.statuses:
            self.done.set()
            await asyncio.Event().wait()
        return Response(self.statuses.pop(0), {}, EMPTY_UPDATE)

    def drop(self):
        """Does nothing: there are no connections."""
        pass


CACHED = {"seq": 5, "hosts": [endpoint_entry("r1", "127.0.0.1:1")]}


async def run_discovery(statuses, monkeypatch, **arguments):
    """Runs a Discovery until all statuses are used; its pauses are recorded instead of waited for.

    Returns the ScriptedClient.
    """
    client, real_sleep = ScriptedClient(statuses), asyncio.sleep
    source = platform.Discovery(("127.0.0.1", 1), **arguments)
    source.client = client

    async def sleep(span):
        client.pauses.append(span)
        await real_sleep(0)

    monkeypatch.setattr(platform.asyncio, "sleep", sleep)
    source.start(lambda kind, endpoints: None)
    await asyncio.wait_for(client.done.wait(), 10)
    source.close()
    return client


def test_cached_endpoints_are_not_read_again_only_changes_are(monkeypatch):
    """40 senders that restarted and read all endpoints at once overloaded discovery (scenario herd+vast)."""
    client = asyncio.run(run_discovery([200], monkeypatch, cached=CACHED))
    assert [target.split("&")[0] for target in client.targets] == [
        "/v1/servers?index=5",
        "/v1/servers?index=7",
    ]


def test_refused_request_keeps_the_version(monkeypatch):
    """Reading all endpoints after each 503 costs discovery more than the changes (scenario herd+vast)."""
    client = asyncio.run(run_discovery([503, 503, 200], monkeypatch, cached=CACHED))
    assert all("index=" in target for target in client.targets) and len(client.targets) == 4


@pytest.mark.parametrize("senders", [1, 40, 200, 100_000])
def test_first_request_is_not_delayed_in_a_fleet_of_any_size(senders, monkeypatch):
    """Senders that first waited up to 24 s sent to draining endpoints meanwhile (scenario roll+mass)."""
    client = asyncio.run(run_discovery([200], monkeypatch, cached=CACHED, senders=senders))
    assert client.targets and not client.pauses


@pytest.mark.parametrize(
    ("senders", "min_spread", "max_pause"), [(3, 0.0, 5.0), (40, 2.0, 8.0), (100_000, 2.0, 8.0)]
)
def test_retries_of_senders_refused_together_are_spread(senders, min_spread, max_pause, monkeypatch):
    """34 of 40 refused senders retried together every 100 ms for half a minute (scenario herd+vast)."""
    random.seed(4)
    clients = [
        asyncio.run(run_discovery([503], monkeypatch, cached=CACHED, senders=senders)) for _ in range(30)
    ]
    first_pauses = sorted(client.pauses[0] for client in clients)
    assert first_pauses[-1] - first_pauses[0] >= min_spread and first_pauses[-1] <= max_pause


@pytest.mark.parametrize(
    "cached",
    [{}, {"seq": 3}, {"seq": "3", "hosts": [1]}, {"seq": -1, "hosts": [1]}, {"seq": True, "hosts": [1]}],
)
def test_cached_endpoints_without_a_valid_version_are_read_again(cached):
    assert platform.parse_version(cached) is None


# Incident 40fa21: a list of very many short values took 20 times its bytes when it was decoded.
@pytest.mark.parametrize("value", [b"{},", b"[],", b"0,"])
def test_a_response_with_more_values_than_memory_allows_is_not_decoded(value):
    memory = 32_000_000
    discovery = Discovery(("127.0.0.1", 1), memory=memory)
    body = b'{"seq":1,"hosts":[' + value * (MAX_BODY // len(value) - 10) + b"0]}"
    tracemalloc.start()
    with pytest.raises(ValueError, match="values"):
        decode(body, discovery.max_values)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < memory / 100


def test_the_largest_fleet_is_decoded_within_the_least_memory():
    """3,200 receivers, sixteen times the usual number (STANDING)."""
    discovery = Discovery(("127.0.0.1", 1), memory=32_000_000)
    hosts = [endpoint_entry(f"s-{n:08x}", f"10.1.{n % 250}.{n % 200}:6379") for n in range(3200)]
    raw = {"seq": 1, "whole": True, "hosts": hosts}
    assert decode(json.dumps(raw).encode(), discovery.max_values) == raw
