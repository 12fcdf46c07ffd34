"""The pause of an ordering key counts from the end of a call that may still be running (issue 76)."""

import asyncio
import contextlib
import json
import logging
import re
from types import SimpleNamespace

import pytest
from peers import (
    SETTINGS,
    DiscoveryServer,
    HttpServer,
    RespClient,
    encode_submission,
    endpoint_entry,
    run_with_timeout,
    wait_until,
)
from standins.broker import ScriptedBroker
from standins.station import Station, make_config_text
from test_node import sender

from rainpier import policy
from rainpier.carriers.amqp.outcomes import OUTCOME_BY_RESULT, PublishResult
from rainpier.interface import KeyPaused, Outcome
from rainpier.node.key_pauses import KeyPauses
from rainpier.store.state import KeyPause, State

GAP_MS, LONGER_THAN_GAP_S = 400.0, 0.5
RULES = {"drain-grace": 500.0, "turn-gap": GAP_MS}
ONE_ATTEMPT = {"policy-limits": SETTINGS["policy-limits"] | {"max-attempts": 1}}
KEY, OTHER_KEY = "000000000000002a", "000000000000002b"
ROWS = json.dumps([{"id": name, "state": "delivered"} for name in ("first", "other")]).encode()


class CallEnds:
    """Notes when calls of a node end: loop times (s) by the ids of their messages."""

    def __init__(self, node):
        self.times, self.on_result, self.loop = {}, node.calls.receivers.on_result, node.core.loop
        node.calls.receivers.on_result = self.note

    def note(self, call, result):
        """Notes the time, and passes the result on."""
        for entry in call.entries:
            self.times.setdefault(entry.id, self.loop.time())
        self.on_result(call, result)

    async def of(self, message):
        """Waits for the end of the first call with the message; returns its loop time, s."""
        await wait_until(lambda: message in self.times)
        return self.times[message]


class KeyedReceiver(HttpServer):
    """Answers 200 to calls without the message "first", and `first_response` to those with it.

    `begun`: loop time (s) of the first request with each message.
    """

    def __init__(self, first_response):
        super().__init__(self.respond)
        self.first_response, self.begun = first_response, {}

    def respond(self, request, body):
        """Notes which messages begin, and returns the response."""
        headers = dict(request.headers)
        batch = request.target.endswith(b":batch")
        names = [row["id"] for row in json.loads(body)] if batch else [headers[b"x-call-id"].decode()]
        for name in names:
            self.begun.setdefault(name, asyncio.get_running_loop().time())
        if "first" in names:
            return self.first_response
        return 200, [], json.dumps([{"id": name, "state": "delivered"} for name in names]).encode()


@contextlib.asynccontextmanager
async def keyed_sender(tmp_path, receiver, kind="bulk", rules=RULES, **settings):
    """Runs a node with a pause of GAP_MS before one receiver, and yields it with its discovery and a client.

    `settings` replace entries of peers.SETTINGS.
    """
    async with DiscoveryServer() as discovery:
        discovery.endpoints = [endpoint_entry("r1", receiver.address, kind=kind)]
        async with (
            sender(tmp_path, discovery, rules=rules, **settings) as node,
            RespClient(node.port) as client,
        ):
            yield node, discovery, client


async def submit(client, *messages):
    """Submits messages together, each by its id, class, lifetime in ms and key."""
    for name, cls, lifetime_ms, key in messages:
        fields = f",k={name}" if cls == "keyed" else ""
        client.writer.write(encode_submission(name, cls, lifetime_ms, key=key, extra_fields=fields))
    assert [await client.read_reply() for _ in messages] == ["OK"] * len(messages)


def assert_paused(ended_at, begun_at):
    """Asserts that the pause lay between the end of a call and the begin of the next one (loop times, s)."""
    assert begun_at - ended_at >= GAP_MS / 1000


# Guards against a key's next message that goes at once when a call given up after its message's deadline ends.
@pytest.mark.parametrize("end", ["closed", "answered", "cancelled", "timed out"])
def test_a_key_pauses_from_the_end_of_a_call_that_outlasted_its_message(tmp_path, end, caplog):
    caplog.set_level(logging.DEBUG, "rainpier.events")

    async def scenario():
        gate = asyncio.get_running_loop().create_future()
        async with (
            KeyedReceiver(gate) as receiver,
            keyed_sender(tmp_path, receiver) as (node, discovery, client),
        ):
            ends = CallEnds(node)
            await submit(
                client,
                ("first", "keyed", 600, KEY),
                ("other", "unsafe", 20000, "0" * 16),
                ("second", "keyed", 20000, KEY),
            )
            assert (await discovery.next_notification())["message"] == "first"
            await wait_until(lambda: not [e for e in node.store.entries.values() if e.id == "first"])
            await asyncio.sleep(LONGER_THAN_GAP_S)  # counted from the report, a pause would be over
            assert len(node.calls.receivers.calls) == 1 and "second" not in receiver.begun
            if end == "cancelled":
                (call,) = node.calls.receivers.calls
                call.task.cancel()
            elif end != "timed out":
                gate.set_result(None if end == "closed" else (200, [], ROWS))
            ended_at = await ends.of("first")
            await wait_until(lambda: "second" in receiver.begun)
            assert_paused(ended_at, receiver.begun["second"])
            await wait_until(lambda: not node.store.entries)

    run_with_timeout(scenario())
    assert re.search("event=attempt_ended reason=timeout id=first .* call_open=True", caplog.text)
    assert re.search("event=call_ended reason=outcomes_reported_before ids=first ", caplog.text)


# Guards against a pause of a key that never ends, or that also holds messages of other keys.
def test_the_pause_after_a_call_that_outlasted_its_message_holds_only_that_key(tmp_path):
    async def scenario():
        gate = asyncio.get_running_loop().create_future()
        async with (
            KeyedReceiver(gate) as receiver,
            keyed_sender(tmp_path, receiver) as (node, discovery, client),
        ):
            ends = CallEnds(node)
            await submit(client, ("first", "keyed", 600, KEY), ("other", "safe", 20000, "0" * 16))
            assert (await discovery.next_notification())["message"] == "first"
            await asyncio.sleep(LONGER_THAN_GAP_S)
            gate.set_result((200, [], ROWS))
            ended_at = await ends.of("first")
            await submit(client, ("second", "keyed", 20000, KEY), ("third", "keyed", 20000, OTHER_KEY))
            await wait_until(lambda: len(receiver.begun) == 4)
            assert_paused(ended_at, receiver.begun["second"])
            assert receiver.begun["third"] - ended_at < GAP_MS / 1000
            await wait_until(lambda: not node.store.entries)

    run_with_timeout(scenario())


# Guards against a key's next message that goes at once when the sender gives up a call halfway through its answer.
@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 500 Error\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 500 Error\r\nContent-Length: x\r\n\r\n",
        b"\x00\x01 no answer at all\r\n\r\n",
    ],
    ids=["incomplete", "invalid length", "not HTTP"],
)
def test_a_key_pauses_after_a_call_whose_answer_cannot_be_used(tmp_path, response):
    async def scenario():
        stalled = asyncio.get_running_loop().create_future()

        class StallingReceiver(KeyedReceiver):
            async def serve(self, reader, writer):
                if self.begun:
                    return await super().serve(reader, writer)
                await reader.readuntil(b"\r\n\r\nbody")
                self.begun["first"] = asyncio.get_running_loop().time()
                writer.write(response)
                await stalled  # its work goes on, until the sender gives up

        async with (
            StallingReceiver((200, [], b"")) as receiver,
            keyed_sender(tmp_path, receiver, "single", **ONE_ATTEMPT) as (node, discovery, client),
        ):
            ends = CallEnds(node)
            await submit(client, ("first", "keyed", 20000, KEY), ("second", "keyed", 20000, KEY))
            ended_at = await ends.of("first")
            await wait_until(lambda: "second" in receiver.begun)
            assert_paused(ended_at, receiver.begun["second"])

    run_with_timeout(scenario())


# Guards against the same when the answer belongs to another call on that connection, and its own never came.
def test_a_key_pauses_after_a_call_that_got_the_answer_of_another_one(tmp_path):
    async def scenario():
        async with (
            KeyedReceiver((200, [("X-Call-Id", "warm")], b"")) as receiver,
            keyed_sender(tmp_path, receiver, "single", **ONE_ATTEMPT) as (node, discovery, client),
        ):
            ends = CallEnds(node)
            await submit(client, ("warm", "safe", 20000, "0" * 16))
            receivers = node.calls.receivers
            await wait_until(lambda: receivers.idle and receivers.by_number[1].idle[0].out_of_quarantine)
            await submit(client, ("first", "keyed", 20000, KEY), ("second", "keyed", 20000, KEY))
            ended_at = await ends.of("first")
            assert (await discovery.next_notification())["message"] == "first"
            await wait_until(lambda: "second" in receiver.begun)
            assert_paused(ended_at, receiver.begun["second"])

    run_with_timeout(scenario())


# Guards against pauses, and records of them, that nothing calls for.
@pytest.mark.parametrize(
    ("response", "turn_gap"),
    [
        ((500, [], b""), GAP_MS),
        ((503, [], b""), GAP_MS),
        ((200, [], b'[{"id":"other","state":"delivered"}]'), GAP_MS),
        (None, 0.0),
    ],
    ids=["error", "refused", "left out of the answer", "reset, no pause configured"],
)
def test_a_key_does_not_pause_after_an_answer_or_where_no_pause_is_configured(tmp_path, response, turn_gap):
    async def scenario():
        rules = RULES | {"turn-gap": turn_gap}
        async with (
            KeyedReceiver(response) as receiver,
            keyed_sender(tmp_path, receiver, rules=rules, **ONE_ATTEMPT) as (node, _, client),
        ):
            push, pushed = node.core.push, []
            node.core.push = lambda event: (pushed.append(event), push(event))
            await submit(client, ("first", "keyed", 20000, KEY), ("other", "safe", 20000, "0" * 16))
            await submit(client, ("second", "keyed", 20000, KEY))
            await wait_until(lambda: "second" in receiver.begun)
            assert not node.store.state.key_pauses
            assert not [event for event in pushed if isinstance(event, KeyPaused)]

    run_with_timeout(scenario())


# Guards against the same over AMQP: a publish whose confirm is still awaited by its call when its deadline passes.
@pytest.mark.parametrize("end", ["confirmed", "broken off"])
def test_a_key_pauses_from_the_end_of_a_publish_that_outlasted_its_message(tmp_path, end, monkeypatch):
    monkeypatch.setattr(policy, "MIN_TIMEOUT_MS", 6000.0)  # the call goes on until "other" is confirmed

    async def scenario():
        script = {"first": "hold", "other": "hold"}
        async with ScriptedBroker(lambda message: script.get(message, "ack")) as broker:
            text = make_config_text({"orders": [broker.address]}, kind="batch = 20")
            text += f'\n[rules]\nturn_gap = "{GAP_MS:.0f} ms"\n'
            async with Station(tmp_path, text) as station:
                loop = asyncio.get_running_loop()
                assert await station.submit("warm", "notice", 1)
                await wait_until(lambda: "warm" in broker.effects)
                broker.block("low on memory")  # so that the next ones wait, and go in one call
                await asyncio.sleep(0.05)
                assert await station.submit("first", "render", 1, key=1, token="a", lifetime_ms=1500)
                assert await station.submit("other", "charge", 1, lifetime_ms=8000)
                assert await station.submit("second", "render", 1, key=1, token="b")
                broker.block("")
                await wait_until(lambda: len(broker.held) == 2)
                (call,) = station.node.calls.receivers.calls
                assert {entry.id for entry in call.entries} == {"first", "other"}
                await wait_until(lambda: station.sink.completions)
                assert station.sink.completions == [("first", "handed_back")]
                await asyncio.sleep(LONGER_THAN_GAP_S)
                assert call.open and "second" not in broker.effects
                ended_at = loop.time()
                if end == "confirmed":  # "other" is still awaited: the publish of "first" alone has ended
                    broker.held = [broker.held[[entry.id for entry in call.entries].index("first")]]
                    broker.release()
                else:
                    for connection in list(broker.connections):
                        connection.abort()
                await wait_until(lambda: "second" in broker.effects)
                (begun_at,) = [at for at, name, *_ in broker.published if name == "second"]
                assert_paused(ended_at, begun_at)
                if end == "confirmed":
                    assert call.open  # another publish's lost confirm holds up no key

    run_with_timeout(scenario())


# --- restarts ---


# Guards against a pause that is forgotten with the process: a call was open whose message had ended before.
@pytest.mark.parametrize("notified", [True, False])
def test_a_key_pauses_after_a_restart_that_ends_a_call_which_outlasted_its_message(tmp_path, notified):
    async def scenario():
        never = asyncio.get_running_loop().create_future()
        async with KeyedReceiver(never) as receiver:
            async with keyed_sender(tmp_path, receiver) as (node, discovery, client):
                discovery.notifications_to_reject = 0 if notified else 1000
                await submit(
                    client,
                    ("first", "keyed", 600, KEY),
                    ("other", "unsafe", 20000, "0" * 16),
                    ("second", "keyed", 20000, KEY),
                )
                number = node.store.numbers["first"]
                first = node.store.entries[number]
                await wait_until(lambda: first.end and (number in node.store.entries) is not notified)
                assert len(node.calls.receivers.calls) == 1
            closed_at = asyncio.get_running_loop().time()
            async with keyed_sender(tmp_path, receiver):
                await wait_until(lambda: "second" in receiver.begun)
            assert_paused(closed_at, receiver.begun["second"])

    run_with_timeout(scenario())


# Guards against a pause that is forgotten with the process: the call had ended before.
def test_a_key_pauses_over_a_restart_from_the_end_of_its_call(tmp_path):
    async def scenario():
        async with KeyedReceiver(None) as receiver:
            async with keyed_sender(tmp_path, receiver, "single", **ONE_ATTEMPT) as (node, discovery, client):
                ends = CallEnds(node)
                await submit(client, ("first", "keyed", 20000, KEY), ("second", "keyed", 20000, KEY))
                ended_at = await ends.of("first")
                await wait_until(lambda: len(node.store.entries) == 1)
            async with keyed_sender(tmp_path, receiver, "single", **ONE_ATTEMPT):
                await wait_until(lambda: "second" in receiver.begun)
            assert_paused(ended_at, receiver.begun["second"])

    run_with_timeout(scenario())


# Guards against a pause that lasts over one restart only: the first one had ended the call.
def test_a_key_pauses_over_two_restarts_in_a_row(tmp_path):
    async def scenario():
        never = asyncio.get_running_loop().create_future()
        async with KeyedReceiver(never) as receiver:
            async with keyed_sender(tmp_path, receiver, "single") as (node, discovery, client):
                await submit(client, ("first", "keyed", 20000, KEY), ("second", "keyed", 20000, KEY))
                await wait_until(lambda: "first" in receiver.begun)
            async with keyed_sender(tmp_path, receiver, "single"):
                ended_at = (
                    asyncio.get_running_loop().time()
                )  # what the second process takes for the call's end
            receiver.first_response = (200, [], b"")
            async with keyed_sender(tmp_path, receiver, "single"):
                await wait_until(lambda: "second" in receiver.begun)
            assert_paused(ended_at, receiver.begun["second"])

    run_with_timeout(scenario())


# Guards against a restart that forgets an open call since its message has a final status already.
@pytest.mark.parametrize("notified", [True, False])
def test_a_key_pauses_after_a_restart_that_ends_the_call_of_an_overdue_message(tmp_path, notified):
    async def scenario():
        never = asyncio.get_running_loop().create_future()
        async with KeyedReceiver(never) as receiver:
            async with keyed_sender(tmp_path, receiver, "single") as (node, discovery, client):
                discovery.notifications_to_reject = 0 if notified else 1000
                await submit(client, ("first", "keyed", 20000, KEY), ("second", "keyed", 20000, KEY))
                await wait_until(lambda: "first" in receiver.begun)
                node.completions.overdue.set(1, 0.0)
                node.completions.expire_overdue()
                await wait_until(lambda: (1 in node.store.entries) is not notified)
                assert 1 in node.calls.by_message
            closed_at = asyncio.get_running_loop().time()
            async with keyed_sender(tmp_path, receiver, "single"):
                await wait_until(lambda: "second" in receiver.begun)
            assert_paused(closed_at, receiver.begun["second"])

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("call_end", "left"),
    [(-100.0, 300.0), (-399.0, 1.0), (-400.0, None), (-9000.0, None), (0.0, 400.0), (5000.0, 400.0)],
)
def test_a_restored_pause_counts_from_the_end_of_its_call_or_from_the_restart_if_that_came_first(
    call_end, left
):
    """`call_end` is relative to the restart, which ends the calls of the process before."""
    state, events, now = State(), [], 1_000_000.0
    state.set_key_pause(42, KeyPause(now + call_end, GAP_MS))
    core = SimpleNamespace(now=now, store=SimpleNamespace(state=state), push=events.append)
    KeyPauses(core).restore()
    assert events == ([KeyPaused(42, left)] if left else [])


# Guards against a pause that is not recorded: one publish of a call was broken off while the call went on.
def test_the_pause_after_one_publish_of_a_call_is_recorded_while_the_call_goes_on(tmp_path):
    async def scenario():
        script = {"first": "close:504", "other": "hold"}
        async with ScriptedBroker(lambda message: script.get(message, "ack")) as broker:
            text = make_config_text({"orders": [broker.address]}, kind="batch = 20\nchannels = 8")
            text += f'\n[rules]\nturn_gap = "{GAP_MS:.0f} ms"\n'
            async with Station(tmp_path, text) as station:
                assert await station.submit("warm", "notice", 1)
                await wait_until(lambda: "warm" in broker.effects)
                broker.block("low on memory")  # so that the next ones wait, and go in one call
                await asyncio.sleep(0.05)
                assert await station.submit("first", "render", 1, key=1, token="a")
                assert await station.submit("other", "charge", 1)
                broker.block("")
                await wait_until(lambda: broker.held)
                (call,) = station.node.calls.receivers.calls
                assert {entry.id for entry in call.entries} == {"first", "other"}
                index = [entry.id for entry in call.entries].index("first")
                first, attempt = call.entries[index], call.attempts[index]
                await wait_until(lambda: first.number in call.completed)
                assert call.open and first.attempts == attempt + 1  # there was no further attempt
                assert 1 in station.node.store.state.key_pauses

    run_with_timeout(scenario())


# Guards against a pause that is left out, or counts from another time, where the sender gives a publish up.
@pytest.mark.parametrize("end", ["timed out", "cancelled"])
def test_the_pause_after_a_publish_that_is_given_up_counts_from_the_end_of_its_call(
    tmp_path, end, monkeypatch
):
    monkeypatch.setattr(policy, "MIN_TIMEOUT_MS", 500.0 if end == "timed out" else 6000.0)
    monkeypatch.setattr(policy, "TIMEOUT_FACTOR", 1.0)

    async def scenario():
        async with ScriptedBroker(lambda message: "lose") as broker:
            text = make_config_text({"orders": [broker.address]})
            text += f'\n[rules]\nturn_gap = "{GAP_MS:.0f} ms"\n'
            async with Station(tmp_path, text) as station:
                node = station.node
                ends = CallEnds(node)
                assert await station.submit("first", "render", 1, key=1, token="a")
                await wait_until(lambda: "first" in broker.effects)
                assert not node.store.state.key_pauses
                (call,) = node.calls.receivers.calls
                if end == "cancelled":
                    call.task.cancel()
                ended_ms = await ends.of("first") * 1000 + node.core.epoch
                pause = node.store.state.key_pauses[1]
                assert pause.duration == GAP_MS and 0 <= pause.call_end - ended_ms < GAP_MS / 4

    run_with_timeout(scenario())


def test_a_publish_without_confirm_may_still_run():
    may_still_run = {result for result, outcome in OUTCOME_BY_RESULT.items() if outcome.may_still_run}
    assert may_still_run == {
        PublishResult.CHANNEL_CLOSED,
        PublishResult.CONNECTION_CLOSED,
        PublishResult.CONNECTION_LOST,
        PublishResult.CONFIRM_TIMEOUT,
        PublishResult.CANCELLED,
    }
    assert not Outcome.ERROR.may_still_run
