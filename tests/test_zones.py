"""A keyed message that may have run is repeated only in the zone that knows its key, whatever an edit does.

In each play orders run at `near`, whose answers say nothing of their effect. Then an edit changes the names, and
`near` takes no more calls. `far` is in another zone and has no record of the orders, so it must not get them.
"""

import asyncio
import json
import signal
from dataclasses import dataclass

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
from sidecars import CLASSES, SidecarProcess, make_config_text
from test_process import Process, call_id

ORDERS = ["order-1", "order-2", "order-3"]
LIFETIME_MS = 3000  # of an order
LIFETIME_OVER_SHUTDOWN_MS = 7000  # the same where the sender gets SIGTERM, after which it serves on for 3 s
ZONED = {"zoned": 'effect = "keyed"\nrepeat_window = "60 s"\nremembered_by = "zone"'}
PLATFORM_CLASSES = [
    {"name": "safe", "objective": 2000.0, "hard-limit": 20000.0, "semantics": "free"},
    {"name": "zoned", "objective": 2000.0, "hard-limit": 20000.0, "semantics": "guarded", "group": "zone",
     "repeat-window": 60000.0},
]  # fmt: skip


class ZoneReceiver(HttpServer):
    """An endpoint that runs what it gets and notes its id; its answer is 500 while it is failing."""

    def __init__(self, failing=False):
        super().__init__(self.run)
        self.failing, self.ran, self.may_answer = failing, [], asyncio.Event()
        self.may_answer.set()

    async def run(self, request, body):
        """Handler: runs the message."""
        self.ran.append(dict(request.headers)[b"x-call-id"].decode())
        await self.may_answer.wait()
        return 500 if self.failing else 200, [], b""


@dataclass(frozen=True)
class Names:
    """The list of zones, and the zones of the endpoints; an endpoint without one is not listed."""

    zones: tuple[str, ...]
    near: str | None
    far: str | None


@dataclass(frozen=True)
class Edit:
    """The names before and after an edit."""

    before: Names
    after: Names


START_EDITS = {
    "reordered": Edit(Names(("a", "b"), "a", "b"), Names(("b", "a"), "a", "b")),
    "shortened": Edit(Names(("a", "b"), "a", "b"), Names(("b",), None, "b")),
    "one put first": Edit(Names(("a", "b"), "b", "a"), Names(("n", "a", "b"), "b", "a")),
    "replaced": Edit(Names(("a",), "a", None), Names(("c",), None, "c")),
    "renamed": Edit(Names(("a", "b"), "a", "b"), Names(("d", "c"), "c", "d")),
    "endpoints exchanged": Edit(Names(("a", "b"), "a", "b"), Names(("a", "b"), "b", "a")),
    "endpoint moved": Edit(Names(("a", "b", "c"), "a", "b"), Names(("a", "b", "c"), "c", "a")),
}
LIVE_EDITS = ("endpoints exchanged", "endpoint moved")


def config_text(names, near, far, moved):
    """Returns a sidecar's file; `moved`: near drains and far is ready, before it is the reverse."""
    states = ("draining", "ready") if moved else ("ready", "draining")
    endpoints = [
        f'{{ address = "{receiver.address}", zone = "{zone}", state = "{state}" }}'
        for receiver, zone, state in zip((near, far), (names.near, names.far), states, strict=True)
        if zone is not None
    ]
    text = make_config_text({"alpha": (1, endpoints)}, CLASSES | ZONED)
    return text + f"\n[fleet]\nzones = {json.dumps(list(names.zones))}\n"


async def submit(port, *names, cls="zoned", destination=1, lifetime_ms=LIFETIME_MS):
    """Submits messages with idempotency keys."""
    async with RespClient(port) as client:
        for name in names:
            fields = f",k=key-of-{name}" if cls == "zoned" else ""
            submission = encode_submission(name, cls, lifetime_ms, destination, extra_fields=fields)
            assert await client.request(submission) == "OK"


async def end_process(process, change):
    """Ends a sender's process as the change says."""
    process.send_signal(signal.SIGKILL if change == "kill" else signal.SIGTERM)
    await process.wait()


async def play_on_sidecar(folder, edit, change, call_open=False):
    """Plays an edit by "reload", or between two starts by "restart" or "kill".

    `call_open`: near answers only once the edit is applied.
    """
    folder.mkdir()
    async with ZoneReceiver(failing=True) as near, ZoneReceiver() as far:
        after = config_text(edit.after, near, far, moved=True)
        async with SidecarProcess(folder, config_text(edit.before, near, far, moved=False)) as sidecar:
            if call_open:
                near.may_answer.clear()
            lifetime_ms = LIFETIME_OVER_SHUTDOWN_MS if change == "restart" else LIFETIME_MS
            await submit(sidecar.port, *ORDERS, lifetime_ms=lifetime_ms)
            await wait_until(lambda: set(near.ran) == set(ORDERS))
            if change == "reload":
                assert (await sidecar.reload(after))["result"] == "applied"
                near.may_answer.set()
                await check_sidecar(sidecar, far)
            else:
                await end_process(sidecar.process, change)
        if change != "reload":
            async with SidecarProcess(folder, after) as sidecar:
                await check_sidecar(sidecar, far)


async def check_sidecar(sidecar, far):
    """Checks that far gets a new message and none of the orders, and that each order has one final status."""
    await submit(sidecar.port, "new", cls="safe")
    await sidecar.wait_for_status(lambda status: not status["held"])
    assert far.ran == ["new"]
    completions = [(c["message"], c["outcome"]) for c in sidecar.completions()]
    assert sorted(completions) == [(order, "given_up") for order in ORDERS]
    assert b"may not be sent now" not in sidecar.log


# Guards against orders that run in a second zone: the store had the zone's position in a list that was edited.
@pytest.mark.parametrize("change", ["restart", "kill"])
def test_orders_stay_in_their_zone_when_the_list_of_zones_is_edited_at_a_start(tmp_path, change):
    async def scenario():
        async with asyncio.TaskGroup() as plays:
            for name, edit in START_EDITS.items():
                plays.create_task(play_on_sidecar(tmp_path / name, edit, change))

    run_with_timeout(scenario())


# Guards against orders that are lost to their own zone by the same edit.
def test_orders_are_delivered_in_their_zone_after_its_position_changed(tmp_path):
    async def scenario():
        async with ZoneReceiver(failing=True) as near, ZoneReceiver() as far:
            edit = START_EDITS["reordered"]
            async with SidecarProcess(tmp_path, config_text(edit.before, near, far, moved=False)) as sidecar:
                await submit(sidecar.port, *ORDERS, lifetime_ms=15_000)
                await wait_until(lambda: set(near.ran) == set(ORDERS))
                await sidecar.kill()
            near.failing = False
            async with SidecarProcess(tmp_path, config_text(edit.after, near, far, moved=False)) as sidecar:
                await sidecar.wait_for_status(lambda status: not status["held"])
                assert not far.ran and not sidecar.completions()

    run_with_timeout(scenario())


# Guards against the same where endpoints change their zones: the zone's name is that of another endpoint then.
@pytest.mark.parametrize("call_open", [False, True])
def test_orders_of_an_endpoint_that_changes_its_zone_run_nowhere_else(tmp_path, call_open):
    async def scenario():
        async with asyncio.TaskGroup() as plays:
            for name in LIVE_EDITS:
                play = play_on_sidecar(tmp_path / name, START_EDITS[name], "reload", call_open)
                plays.create_task(play)
                if not call_open:
                    folder = tmp_path / f"{name} on the platform"
                    plays.create_task(play_on_platform(folder, START_EDITS[name], "update"))

    run_with_timeout(scenario())


def discovered(near, far, zones, moved):
    """Returns the endpoints as discovery lists them; `moved`: as in config_text."""
    health = ("DRAINING", "SERVING") if moved else ("SERVING", "DRAINING")
    return [
        endpoint_entry(name, receiver.address, zone=zone, health=state, rate=100.0)
        for name, receiver, zone, state in zip(("near", "far"), (near, far), zones, health, strict=True)
    ]


async def play_on_platform(folder, edit, change):
    """Plays an edit of the platform's list of zones between two starts, or of discovery's zones ("update")."""
    folder.mkdir()
    async with ZoneReceiver(failing=True) as near, ZoneReceiver() as far, DiscoveryServer() as discovery:
        discovery.endpoints = discovered(near, far, (edit.before.near, edit.before.far), moved=False)
        settings = {"classes": PLATFORM_CLASSES, "zones": edit.before.zones, "weights": "nominal"}
        async with Process(folder, discovery, **settings) as sender:
            lifetime_ms = LIFETIME_OVER_SHUTDOWN_MS if change == "restart" else LIFETIME_MS
            await submit(sender.port, *ORDERS, destination=3, lifetime_ms=lifetime_ms)
            await wait_until(lambda: set(near.ran) == set(ORDERS))
            if change != "update":
                await end_process(sender.process, change)
            discovery.set_endpoints(*discovered(near, far, (edit.after.near, edit.after.far), moved=True))
            if change == "update":
                await check_platform(sender, discovery, far)
        if change != "update":
            settings["zones"] = edit.after.zones
            async with Process(folder, discovery, **settings) as sender:
                await check_platform(sender, discovery, far)


async def check_platform(sender, discovery, far):
    """Checks that far gets a new message and none of the orders, and that each order has one final status."""
    await submit(sender.port, "new", cls="safe", destination=3)
    notified = [await discovery.next_notification() for _ in ORDERS]
    assert sorted((row["message"], row["outcome"]) for row in notified) == [(o, "given_up") for o in ORDERS]
    assert call_id(await far.next_request()) == "new" and far.ran == ["new"]


# Guards against the same on the platform, whose settings have the list and whose discovery has the names.
@pytest.mark.parametrize("change", ["restart", "kill"])
def test_orders_stay_in_their_zone_when_the_platform_lists_zones_anew(tmp_path, change):
    async def scenario():
        edits = ("reordered", "one put first", "renamed", *LIVE_EDITS)
        async with asyncio.TaskGroup() as plays:
            for name in edits:
                plays.create_task(play_on_platform(tmp_path / name, START_EDITS[name], change))

    run_with_timeout(scenario())


# Guards against a group that settings may have and the store can't record: no submission was answered any more.
def test_a_message_remembered_by_cell_is_repeated_and_never_handed_back(tmp_path):
    async def scenario():
        async with (
            ZoneReceiver(failing=True) as near,
            ZoneReceiver(failing=True) as far,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = discovered(near, far, ("a", "b"), moved=False)
            for entry in discovery.endpoints:
                entry["health"] = "SERVING"
            classes = [PLATFORM_CLASSES[0], PLATFORM_CLASSES[1] | {"group": "cell"}]
            settings = {"classes": classes, "zones": ["a", "b"], "weights": "nominal"}
            async with Process(tmp_path, discovery, **settings) as sender:
                await submit(sender.port, *ORDERS, destination=3)
                await wait_until(lambda: near.ran and far.ran)
                await sender.kill()
            async with Process(tmp_path, discovery, **settings) as sender:
                notified = [await discovery.next_notification() for _ in ORDERS]
                assert {row["outcome"] for row in notified} == {"given_up"}
                assert set(near.ran) & set(far.ran)

    run_with_timeout(scenario())


UNLISTED = {
    "one": Edit(Names(("a", "b"), "x", "a"), Names(("a", "b"), "x", "a")),
    "two": Edit(Names(("a", "b"), "x", "y"), Names(("a", "b"), "x", "y")),
    "no list": Edit(Names((), "x", "y"), Names((), "x", "y")),
}


# Guards against zones that discovery names and no list has: all of them passed for the first one of the list.
@pytest.mark.parametrize("change", ["update", "kill"])
def test_a_zone_that_no_list_has_is_a_zone_of_its_own(tmp_path, change):
    async def scenario():
        async with asyncio.TaskGroup() as plays:
            for name, edit in UNLISTED.items():
                plays.create_task(play_on_platform(tmp_path / name, edit, change))

    run_with_timeout(scenario())
