"""A complete node in the test process, with a client, a receiver and the platform's endpoint discovery."""

import asyncio
import contextlib
import json

import pytest
from peers import (
    SETTINGS,
    DiscoveryServer,
    HttpServer,
    RespClient,
    encode_command,
    encode_submission,
    endpoint_entry,
    make_config,
    make_node,
    run_with_timeout,
    wait_until,
)

from rainpier import interface as i
from rainpier.fronts.resp.server import RespListener


@contextlib.asynccontextmanager
async def sender(tmp_path, discovery, endpoints=None, **settings):
    """Runs a node with a RESP listener until the context exits; `node.port` is the listener's port.

    `endpoints`: the cached endpoints it starts with, by default those of `discovery`. `settings` replace
    entries of SETTINGS.
    """
    node = make_node(
        make_config(tmp_path, discovery, discovery.endpoints if endpoints is None else endpoints, **settings)
    )
    await node.start()
    listener = RespListener(node.submit, 100)
    await listener.listen(("127.0.0.1", 0))
    node.port = listener.port
    try:
        yield node
    finally:
        await listener.close(within=1.0)
        node.close()
        await asyncio.sleep(0)


def held_answers(names):
    """Returns a future by message id, and an HttpServer handler whose responses are their results."""
    answers = {name: asyncio.get_running_loop().create_future() for name in names}
    return answers, lambda request, body: answers[dict(request.headers)[b"x-call-id"].decode()]


def test_a_message_is_delivered_once_and_its_repeat_is_accepted_as_a_duplicate(tmp_path):
    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                assert await client.request(encode_submission("one") + encode_submission("one")) == "OK"
                assert await client.read_reply() == "OK"
                assert (await receiver.next_request())[2] == b"body"
                await wait_until(lambda: not node.store.entries)
                assert await client.request(encode_submission("one")) == "OK"
                assert await client.request(encode_submission("two")) == "OK"
                assert (await receiver.next_request())[1][b"x-call-id"] == b"two"

    run_with_timeout(scenario())


def test_unknown_class_and_destination_are_named_in_the_error(tmp_path):
    async def scenario():
        async with DiscoveryServer([endpoint_entry("r1", "127.0.0.1:1")]) as discovery:
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                assert "class nosuch" in await client.request(encode_submission("a", cls="nosuch"))
                assert "destination 99" in await client.request(encode_submission("a", destination=99))
                assert await client.request(encode_command("PING")) == "PONG"

    run_with_timeout(scenario())


def test_a_message_counts_against_the_quota_of_its_tenant_also_after_a_restart(tmp_path):
    """Messages of a tenant above its quota must not lower the worth of other tenants' messages."""
    tenants = {"tenants": [{"name": "north", "quota-per-s": 100.0}, {"name": "south", "quota-per-s": 0.1}],
               "over-share-worth": 0.1}  # fmt: skip

    def worths(node):
        return {
            node.store.entries[number].id: message.worth for number, message in node.sender.messages.items()
        }

    async def scenario():
        async with DiscoveryServer([endpoint_entry("r1", "127.0.0.1:1")]) as discovery:
            async with sender(tmp_path, discovery, **tenants) as node, RespClient(node.port) as client:
                assert "unknown tenant east" in await client.request(
                    encode_submission("z", extra_fields=",t=east")
                )
                for name, tenant in (("s1", "south"), ("s2", "south"), ("n1", "north"), ("n2", "north")):
                    assert await client.request(encode_submission(name, extra_fields=f",t={tenant}")) == "OK"
                assert (
                    await client.request(encode_submission("no tenant")) == "-ERR unreadable id: 'no tenant'"
                )
                assert await client.request(encode_submission("none")) == "OK"
                assert worths(node) == {"s1": 1.0, "s2": 0.1, "n1": 1.0, "n2": 1.0, "none": 1.0}
            async with sender(tmp_path, discovery, **tenants) as node:
                await wait_until(lambda: len(node.sender.messages) == 5)
                assert worths(node) == {"s1": 1.0, "s2": 0.1, "n1": 1.0, "n2": 1.0, "none": 1.0}

    run_with_timeout(scenario())


def test_a_message_refused_by_the_round_is_answered_busy_with_a_retry_after(tmp_path):
    async def scenario():
        async with DiscoveryServer([endpoint_entry("r1", "127.0.0.1:1")]) as discovery:
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                answer = await client.request(encode_submission("a", deadline_ms=10))
                assert answer.startswith("-BUSY ") and int(answer.split()[1]) > 0
                assert not node.store.entries and discovery.notifications.empty()

    run_with_timeout(scenario())


def test_messages_beyond_the_open_cap_are_refused_on_submission(tmp_path):
    async def scenario():
        never = asyncio.get_running_loop().create_future()
        async with HttpServer(lambda request, body: never) as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            limits = {"open-cap": 3, "max-attempts": 12}
            async with (
                sender(tmp_path, discovery, **{"policy-limits": limits}) as node,
                RespClient(node.port) as client,
            ):
                answers = [await client.request(encode_submission(f"m{n}")) for n in range(8)]
                assert answers[0] == "OK" and answers[-1].startswith("-BUSY ")
                assert len(node.store.entries) <= 3

    run_with_timeout(scenario())


def test_a_message_that_the_store_has_no_room_for_is_refused_and_occupies_no_slot(tmp_path, monkeypatch):
    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                accept = node.store.accept
                node.store.accept = lambda entry: False
                for n in range(10):
                    assert (await client.request(encode_submission(f"m{n}"))).startswith("-BUSY ")
                node.store.accept = accept
                await wait_until(lambda: node.sender.free_slots == 8 and not node.sender.messages)
                assert await client.request(encode_submission("last")) == "OK"
                assert (await receiver.next_request())[1][b"x-call-id"] == b"last"
                assert discovery.notifications.empty()

    run_with_timeout(scenario())


def test_a_keys_next_message_waits_until_the_notification_of_the_one_before_is_acknowledged(tmp_path):
    """A message handed back is completed only when its notification is acknowledged."""

    async def scenario():
        answers, reply = held_answers(("one", "two"))
        async with HttpServer(reply) as receiver, DiscoveryServer() as discovery:
            discovery.endpoints, discovery.notifications_to_reject = (
                [endpoint_entry("r1", receiver.address)],
                1000,
            )
            limits = {"open-cap": 100, "max-attempts": 1}
            async with (
                sender(tmp_path, discovery, **{"policy-limits": limits}) as node,
                RespClient(node.port) as client,
            ):
                ordered = {"cls": "keyed", "key": "7"}
                assert await client.request(encode_submission("one", **ordered)) == "OK"
                assert await client.request(encode_submission("two", **ordered)) == "OK"
                await receiver.next_request()
                answers["one"].set_result((503, [], b""))
                await wait_until(lambda: node.sink.pending)
                await asyncio.sleep(0.3)
                assert receiver.requests.empty()
                discovery.notifications_to_reject = 0
                notification = await discovery.next_notification()
                assert notification["message"] == "one" and notification["outcome"] == "handed_back"
                assert notification["retry_in_ms"] > 0
                assert (await receiver.next_request())[1][b"x-call-id"] == b"two"
                answers["two"].set_result((200, [], b""))

    run_with_timeout(scenario())


def test_a_message_that_may_have_run_and_may_not_be_repeated_is_given_up_at_once(tmp_path):
    async def scenario():
        async with (
            HttpServer(lambda request, body: (500, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                assert await client.request(encode_submission("one", cls="unsafe")) == "OK"
                assert await discovery.next_notification() == {"message": "one", "outcome": "given_up"}

    run_with_timeout(scenario())


def test_a_batch_continues_after_the_deadline_of_one_of_its_messages(tmp_path):
    """A message at its deadline must not end the call early for the others, which may not be repeated."""

    async def scenario():
        gate = asyncio.get_running_loop().create_future()
        first = asyncio.get_running_loop().create_future()
        async with (
            HttpServer(lambda request, body: gate if b"short" in body else first) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address, kind="bulk")]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                for name, d in (("short", 500), ("long", 20000)):
                    client.writer.write(encode_submission(name, cls="unsafe", deadline_ms=d))
                assert [await client.read_reply(), await client.read_reply()] == ["OK", "OK"]
                target, _, body = await receiver.next_request()
                assert target.endswith(":batch")
                assert await discovery.next_notification() == {"message": "short", "outcome": "given_up"}
                gate.set_result(
                    (200, [], b'[{"id":"short","state":"delivered"},{"id":"long","state":"delivered"}]')
                )
                await wait_until(lambda: not node.store.entries)
                assert discovery.notifications.empty() and not node.calls.by_message

    run_with_timeout(scenario())


@contextlib.asynccontextmanager
async def overdue_message(tmp_path, notifications_to_reject):
    """Runs a node with two messages of a key: "first", in a call that waits for `gate`, and "second" behind it.

    Yields the node, the receiver after its request for "first", discovery, and `gate`: the response to "first".
    """
    gate = asyncio.get_running_loop().create_future()
    answers = {b"first": gate}
    async with (
        HttpServer(
            lambda request, body: answers.get(dict(request.headers)[b"x-call-id"], (200, [], b""))
        ) as receiver,
        DiscoveryServer([endpoint_entry("r1", receiver.address)]) as discovery,
    ):
        discovery.notifications_to_reject = notifications_to_reject
        async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
            for name in ("first", "second"):
                client.writer.write(
                    encode_submission(name, "keyed", 20000, key="7", extra_fields=f",k={name}")
                )
            assert [await client.read_reply(), await client.read_reply()] == ["OK", "OK"]
            await receiver.next_request()
            yield node, receiver, discovery, gate


def give_up_as_overdue(node, number):
    """Lets the periodic check give up a message."""
    node.completions.overdue.set(number, 0.0)
    node.completions.expire_overdue()
    assert node.store.entries[number].end == "given_up"


# Guards against a key's next message that goes before the final status of an overdue one was acknowledged.
@pytest.mark.parametrize("in_flight", [True, False])
def test_a_key_waits_until_the_notification_of_an_overdue_message_is_answered(tmp_path, in_flight):
    """A message that ends by a notification is over when that is answered, whether its call ends before or after."""

    async def scenario():
        async with overdue_message(tmp_path, 1000) as (node, receiver, discovery, gate):
            if not in_flight:
                gate.set_result((500, [], b""))
                await wait_until(lambda: not node.calls.by_message)
            give_up_as_overdue(node, 1)
            if in_flight:
                gate.set_result((500, [], b""))
            await wait_until(lambda: discovery.notifications_to_reject < 999)  # repeated, and rejected again
            assert receiver.requests.empty()
            discovery.notifications_to_reject = 0
            assert await discovery.next_notification() == {"message": "first", "outcome": "given_up"}
            assert (await receiver.next_request())[1][b"x-call-id"] == b"second"

    run_with_timeout(scenario())


# Guards against a key that stays blocked: the call of an overdue message ended after its notification was answered.
def test_a_key_goes_on_after_the_call_of_an_overdue_message_whose_notification_was_answered(tmp_path):
    async def scenario():
        async with overdue_message(tmp_path, 0) as (node, receiver, _, gate):
            give_up_as_overdue(node, 1)
            await wait_until(lambda: 1 not in node.store.entries)
            assert receiver.requests.empty() and 1 in node.calls.by_message
            gate.set_result((500, [], b""))
            assert (await receiver.next_request())[1][b"x-call-id"] == b"second"

    run_with_timeout(scenario())


# Guards against a key that stays blocked by a submission that the store had no room for.
def test_a_submission_that_is_not_recorded_does_not_block_its_key(tmp_path):
    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                accept, node.store.accept = node.store.accept, lambda entry: False
                first = encode_submission("first", "keyed", key="7", extra_fields=",k=a")
                assert (await client.request(first)).startswith("-BUSY")
                node.store.accept = accept
                assert (
                    await client.request(encode_submission("second", "keyed", key="7", extra_fields=",k=b"))
                    == "OK"
                )
                assert (await receiver.next_request())[1][b"x-call-id"] == b"second"
                await wait_until(lambda: not node.store.entries)

    run_with_timeout(scenario())


# Guards against attempts that are spent while a message's call is open: its own time-out ended before its deadline.
def test_a_message_of_a_batch_is_not_tried_again_while_its_call_is_open(tmp_path, caplog):
    async def scenario():
        gate = asyncio.get_running_loop().create_future()
        async with HttpServer(lambda request, body: gate) as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry("r1", receiver.address, kind="bulk")]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                handle = node.sender.handle

                def shorten_one_timeout(now, events):
                    """Gives the first message a time-out of 100 ms, as of a class whose calls are quick."""
                    actions = handle(now, events)
                    return [
                        i.Send(a.message, a.endpoint, 100.0)
                        if isinstance(a, i.Send) and a.message == 1
                        else a
                        for a in actions
                    ]

                node.sender.handle = shorten_one_timeout
                for name, d in (("quick", 1800), ("long", 20000)):
                    client.writer.write(encode_submission(name, deadline_ms=d))
                assert [await client.read_reply(), await client.read_reply()] == ["OK", "OK"]
                assert (await receiver.next_request())[0].endswith(":batch")
                await asyncio.sleep(1.0)  # longer than its time-out and the wait before another attempt
                assert [entry.attempts for entry in node.store.entries.values()] == [1, 1]
                gate.set_result(
                    (200, [], b'[{"id":"quick","state":"delivered"},{"id":"long","state":"delivered"}]')
                )
                await wait_until(lambda: not node.store.entries)
                assert discovery.notifications.empty()

    run_with_timeout(scenario())
    assert "may not be sent now" not in caplog.text


def test_the_first_message_of_a_batch_is_the_one_with_the_latest_deadline(tmp_path):
    """Otherwise a receiver that hung takes all for expired once the first message's deadline has passed."""

    async def scenario():
        released, lifetimes = asyncio.Event(), {}

        async def hang_until_released(request, body):
            names = [row["id"] for row in json.loads(body)]
            lifetimes.update({name: int(name.split("-")[1]) for name in names})
            await released.wait()
            if lifetimes[names[0]] < max(lifetimes.values()):
                return None  # takes the call for expired: its first message's deadline has passed
            return 200, [], json.dumps([{"id": name, "state": "delivered"} for name in names]).encode()

        async with HttpServer(hang_until_released) as receiver, DiscoveryServer() as discovery:
            discovery.endpoints = [endpoint_entry("r1", receiver.address, kind="bulk")]
            # the message with the earliest deadline then has the highest worth
            classes = [SETTINGS["classes"][2] | {"objective": 20000.0}]
            async with sender(tmp_path, discovery, classes=classes) as node, RespClient(node.port) as client:
                for d in (500, 20000, 9000):
                    client.writer.write(encode_submission(f"m-{d}", cls="unsafe", deadline_ms=d))
                assert [await client.read_reply() for _ in range(3)] == ["OK"] * 3
                assert (await discovery.next_notification())["message"] == "m-500"
                assert len(lifetimes) == 3
                released.set()
                await wait_until(lambda: not node.store.entries)
                assert discovery.notifications.empty() and not node.calls.by_message

    run_with_timeout(scenario())


def test_a_retry_after_holds_back_a_call_that_is_still_connecting(tmp_path):
    """A retry-after that arrives while another call connects holds that call back too."""

    async def scenario():
        async with (
            HttpServer(lambda request, body: (429, [("X-Retry-In-Ms", "700")], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                connect, gate = node.calls.receivers.connect, asyncio.Event()

                async def connect_when_released(to):
                    if receiver.connections_accepted:
                        await gate.wait()
                    return await connect(to)

                node.calls.receivers.connect = connect_when_released
                assert await client.request(encode_submission("one")) == "OK"
                await wait_until(lambda: receiver.connections_accepted)
                assert await client.request(encode_submission("two")) == "OK"
                await wait_until(lambda: len(node.calls.retry_after.deadlines))
                retry_after_set_at = asyncio.get_running_loop().time()
                gate.set()
                await receiver.next_request()
                await receiver.next_request()
                assert asyncio.get_running_loop().time() - retry_after_set_at > 0.6

    run_with_timeout(scenario())


def test_a_drain_notified_during_connect_holds_the_call_back_after_the_grace_period(tmp_path):
    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with (
                sender(tmp_path, discovery, rules={"drain-grace": 200.0}) as node,
                RespClient(node.port) as client,
            ):
                connect, gate = node.calls.receivers.connect, asyncio.Event()

                async def connect_when_released(to):
                    await gate.wait()
                    return await connect(to)

                node.calls.receivers.connect = connect_when_released
                assert await client.request(encode_submission("one", deadline_ms=3000)) == "OK"
                await wait_until(
                    lambda: discovery.update_requests and "index" in discovery.update_requests[-1][0]
                )
                discovery.set_endpoints(endpoint_entry("r1", receiver.address, health="DRAINING"))
                # infinite until the drain is notified
                await wait_until(lambda: node.calls.receivers.by_number[1].drain_notified_at < 1e12)
                await asyncio.sleep(0.2)  # longer than half of the drain grace, 200 ms
                gate.set()
                assert (await discovery.next_notification())["outcome"] == "handed_back"
                assert receiver.requests.empty()

    run_with_timeout(scenario())


def test_an_event_that_the_policy_fails_on_is_logged_and_does_not_affect_others_of_its_round(
    tmp_path, caplog
):
    """Its own message is not accepted, which its client is told at once; the others go on."""

    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                handle, bad = node.sender.handle, node.store.next_number + 1

                def fail(now, events):
                    if any(isinstance(event, i.Arrival) and event.message == bad for event in events):
                        raise RuntimeError("injected fault")
                    return handle(now, events)

                node.sender.handle = fail
                client.writer.write(
                    b"".join(
                        encode_submission(name, cls="keyed", key="7") for name in ("one", "two", "three")
                    )
                )
                results = [await client.read_reply() for _ in range(3)]
                assert results[0] == results[2] == "OK" and results[1].startswith("-BUSY ")
                assert [(await receiver.next_request())[1][b"x-call-id"] for _ in range(2)] == [
                    b"one",
                    b"three",
                ]
                await wait_until(
                    lambda: not node.store.entries
                    and not node.sender.messages
                    and not node.sender.key_queues.queues
                )
                assert discovery.notifications.empty()
        assert "injected fault" in caplog.text

    run_with_timeout(scenario())


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
def test_an_outcome_in_a_round_that_fails_still_frees_its_slot_and_its_key(tmp_path, after):
    """`after`: the policy fails after its decisions, which it counts as done: they have to be executed."""

    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            info = SETTINGS["family-info"] | {"workers": 1}
            async with (
                sender(tmp_path, discovery, **{"family-info": info}) as node,
                RespClient(node.port) as client,
            ):
                handle, failed = node.sender.handle, []

                def fail(now, events):
                    if not failed and any(isinstance(event, i.Result) for event in events):
                        failed.append(handle(now, events) if after else events)
                        raise RuntimeError("injected fault")
                    return handle(now, events)

                node.sender.handle = fail
                client.writer.write(
                    b"".join(encode_submission(name, cls="keyed", key="7") for name in ("one", "two"))
                )
                assert [await client.read_reply() for _ in range(2)] == ["OK", "OK"]
                assert [(await receiver.next_request())[1][b"x-call-id"] for _ in range(2)] == [
                    b"one",
                    b"two",
                ]
                await wait_until(lambda: not node.store.entries and node.sender.free_slots == 1)
                assert failed and discovery.notifications.empty()

    run_with_timeout(scenario())


def test_one_notification_that_the_agent_cannot_read_delays_no_other(tmp_path, monkeypatch, caplog):
    monkeypatch.setattr("rainpier.sinks.sink.REQUEUE_DELAY", 0.3)

    async def scenario():
        async with (
            HttpServer(lambda request, body: (500, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints, reply, bad = (
                [endpoint_entry("r1", receiver.address)],
                discovery.handler,
                ["m3"],
            )

            async def answer(request, body):
                if any(f'"{name}"'.encode() in body for name in bad):
                    return 400, [], b""
                return await reply(request, body)

            discovery.handler = answer
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                for n in range(8):
                    assert await client.request(encode_submission(f"m{n}", cls="unsafe")) == "OK"
                reported = {(await discovery.next_notification())["message"] for _ in range(7)}
                assert reported == {f"m{n}" for n in range(8) if n != 3}
                assert [entry.id for entry in node.store.entries.values()] == ["m3"]
                bad.clear()
                # reported after REQUEUE_DELAY
                assert (await discovery.next_notification())["message"] == "m3"
                await wait_until(lambda: not node.store.entries)
        assert "m3 can't be read" in caplog.text

    run_with_timeout(scenario())


def test_a_notification_on_a_silent_connection_is_repeated_before_it_is_overdue(tmp_path):
    """A notification is overdue 300 ms after the deadline of its message.

    Messages are completed some rounds before the deadline, so that there is time for a second request.
    """

    async def scenario():
        loop, times = asyncio.get_running_loop(), []
        async with (
            HttpServer(lambda request, body: (500, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints, reply = [endpoint_entry("r1", receiver.address)], discovery.handler

            async def answer(request, body):
                if request.target == b"/reports":
                    times.append(loop.time())
                    if len(times) == 1:
                        await loop.create_future()
                return await reply(request, body)

            discovery.handler = answer
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                assert await client.request(encode_submission("one", cls="unsafe")) == "OK"
                assert (await discovery.next_notification())["message"] == "one"
                assert times[1] - times[0] < 0.33

    run_with_timeout(scenario())


def test_a_background_task_that_fails_is_logged_and_restarted(tmp_path, caplog):
    async def scenario():
        async with (
            HttpServer(lambda request, body: (500, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                on_delivered, failed = node.sink.on_delivered, []

                def fail(entries):
                    if not failed:
                        failed.append(entries)
                        raise RuntimeError("injected fault")
                    on_delivered(entries)

                node.sink.on_delivered = fail
                assert await client.request(encode_submission("one", cls="unsafe")) == "OK"
                assert [(await discovery.next_notification())["message"] for _ in range(2)] == ["one", "one"]
                await wait_until(lambda: not node.store.entries)
        assert "injected fault" in caplog.text

    run_with_timeout(scenario())


def test_discovery_requests_the_full_list_then_watches_and_watches_again_after_silence(tmp_path, monkeypatch):
    monkeypatch.setattr("rainpier.membership.platform.WATCH_TIMEOUT", 0.2)
    monkeypatch.setattr("rainpier.membership.platform.WATCH_MARGIN", 0.2)

    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            old, new = endpoint_entry("old", "127.0.0.1:1"), endpoint_entry("new", receiver.address)
            discovery.endpoints = [new]
            async with sender(tmp_path, discovery, endpoints=[old]) as node, RespClient(node.port) as client:
                # the silent watch is requested again
                await wait_until(lambda: len(discovery.update_requests) >= 3)
                (first, _), (second, _) = discovery.update_requests[:2]
                assert first == "/v1/servers" and second.startswith("/v1/servers?index=1&wait=")
                gone = node.calls.receivers.by_number[node.endpoints.numbers["old"]].entry.condition
                assert gone is i.Condition.GONE
                assert await client.request(encode_submission("one")) == "OK"  # with the current endpoints
                await receiver.next_request()

    run_with_timeout(scenario())


def test_a_watch_whose_answer_stalls_halfway_is_reopened_at_once(tmp_path, monkeypatch):
    """A missed update counts as received 6 s later: a stalled response must not take as long as a watch."""
    monkeypatch.setattr("rainpier.membership.platform.RESPONSE_TIMEOUT", 0.2)

    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints, serve, stopped = (
                [endpoint_entry("r1", receiver.address)],
                discovery.serve,
                [],
            )

            async def stop_halfway(reader, writer):
                if len(discovery.update_requests) != 1 or stopped:
                    return await serve(reader, writer)
                stopped.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n{"seq": 2,')
                await asyncio.get_running_loop().create_future()

            async def reply(request, body, before=discovery.handler):
                status, _, sent = await before(request, body)
                return status, [("Connection", "close")], sent

            discovery.serve, discovery.handler = stop_halfway, reply
            async with sender(tmp_path, discovery) as node:
                await wait_until(lambda: stopped)
                discovery.set_endpoints(endpoint_entry("r1", receiver.address, health="DRAINING"))
                await wait_until(
                    lambda: node.calls.receivers.by_number[1].entry.condition is i.Condition.DRAINING
                )

    run_with_timeout(scenario())


def test_an_update_missed_by_a_silent_watch_is_requested_before_it_counts_as_notified():
    """A watch may be silent for 2 s beyond its wait, within which the next request has to be answered too."""
    from rainpier.membership import platform

    assert (
        platform.WATCH_MARGIN + platform.RETRY_PAUSE <= 1.7
        and platform.RESPONSE_TIMEOUT + platform.RETRY_PAUSE < 6
    )


@pytest.mark.parametrize(
    "junk", [b"not json", b"[]", b'{"seq":9}', b'{"seq":9,"whole":true,"hosts":[{"host":1}]}']
)
def test_an_endpoint_update_that_cannot_be_parsed_is_requested_again(tmp_path, junk):
    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            reply, unreadable = discovery.handler, []

            async def answer(request, body):
                if not unreadable:
                    unreadable.append(junk)
                    return 200, [], junk
                if b"index" in request.target and b"seq" in junk and len(unreadable) == 1:
                    unreadable.append(junk)
                    discovery.changed.set()
                    return 200, [], b'{"seq":10,"whole":true,"hosts":[]}'
                return await reply(request, body)

            discovery.handler = answer
            async with sender(tmp_path, discovery) as node:
                await wait_until(lambda: node.source.complete.is_set())
                assert node.source.version is not None

    run_with_timeout(scenario())


def test_an_unlisted_destination_is_busy_and_becomes_unknown_only_after_a_full_endpoint_update(tmp_path):
    """Otherwise messages would be rejected because discovery could not be reached at the start."""

    async def scenario():
        async with (
            HttpServer(lambda request, body: (200, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.unresponsive = True
            node = make_node(make_config(tmp_path, discovery))
            await node.start()
            listener = RespListener(node.submit, 10)
            await listener.listen(("127.0.0.1", 0))
            async with RespClient(listener.port) as client:
                assert (await client.request(encode_submission("early"))).startswith("-BUSY")
                assert (await client.request(encode_submission("odd", cls="none"))).startswith(
                    "-ERR unknown class"
                )
                discovery.endpoints, discovery.unresponsive = [endpoint_entry("r1", receiver.address)], False
                for writer in list(discovery.writers):
                    writer.transport.abort()
                await wait_until(lambda: node.endpoints.serves(3))
                assert await client.request(encode_submission("again")) == "OK"
                assert (await client.request(encode_submission("nowhere", destination=9))).startswith(
                    "-ERR unknown destination"
                )
            await listener.close(within=0.2)
            node.close()

    run_with_timeout(scenario())
