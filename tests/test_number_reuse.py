"""A sidecar whose file gives the number of a removed destination to another one, by an edit or at a start."""

import asyncio

import pytest
from peers import HttpServer, RespClient, encode_submission, run_with_timeout, wait_until
from sidecars import SidecarProcess, make_config_text
from standins.broker import ScriptedBroker
from standins.station import Station
from standins.station import make_config_text as make_station_config_text
from test_process import call_id

from rainpier.amqp.channel import Properties
from rainpier.config.build import build_config
from rainpier.config.check import check_text
from rainpier.fronts.amqp.context import build_routes
from rainpier.membership.file import discovered_endpoints
from rainpier.submission import Submission

NUMBER = 1  # of the destination that is removed, and of the one that is added


def accept_call(request, body):
    """Handler of an HttpServer that responds to each call with 200."""
    return 200, [], b""


def refuse_call(request, body):
    """Handler of an HttpServer that responds to each call with 503."""
    return 503, [("X-Retry-In-Ms", "30000")], b""


async def submit(sidecar, *names, cls="unsafe"):
    """Submits messages for the destination that has the number."""
    async with RespClient(sidecar.port) as client:
        for name in names:
            assert await client.request(encode_submission(name, cls=cls, destination=NUMBER)) == "OK"


async def next_ids(receiver, count):
    """Returns the ids of the next calls that a receiver gets."""
    return [call_id(await receiver.next_request()) for _ in range(count)]


# Guards against charges that run at another company: it got those held for the one whose number it took over.
@pytest.mark.parametrize("change", ["reload", "restart", "kill"])
def test_messages_of_a_removed_destination_do_not_go_to_the_one_with_its_number(tmp_path, change):
    async def scenario():
        async with HttpServer(refuse_call) as alpha, HttpServer(accept_call) as gamma:
            before = make_config_text({"alpha": (NUMBER, [alpha.address])})
            after = make_config_text({"gamma": (NUMBER, [gamma.address])})
            charges = [f"charge-{number}" for number in range(5)]
            async with SidecarProcess(tmp_path, before) as sidecar:
                await submit(sidecar, *charges)
                await next_ids(alpha, 1)
                if change == "reload":
                    assert (await sidecar.reload(after))["result"] == "applied"
                    await check_served(sidecar, gamma, charges)
                elif change == "kill":
                    await sidecar.kill()
                else:
                    sidecar.process.terminate()
                    assert await sidecar.process.wait() == 0
            if change != "reload":
                async with SidecarProcess(tmp_path, after) as sidecar:
                    await check_served(sidecar, gamma, charges)

    async def check_served(sidecar, gamma, charges):
        """Checks that the charges are handed back, and that a new message is delivered at once.

        The endpoint of the removed destination asked for a pause of 30 s, which is not the new one's.
        """
        await submit(sidecar, "new")
        assert await next_ids(gamma, 1) == ["new"]
        status = await sidecar.wait_for_status(lambda status: not status["held"])
        assert status["destinations"]["gamma"]["number"] == NUMBER and gamma.requests.empty()
        completions = [(c["message"], c["outcome"], c["destination"]) for c in sidecar.completions()]
        assert sorted(completions) == [(charge, "handed_back", NUMBER) for charge in charges]
        assert b"destination 1 (alpha) is no longer configured" in sidecar.log

    run_with_timeout(scenario())


# Guards against the same where the number is given away by a second edit, while a call is still in flight.
@pytest.mark.parametrize("kill", [False, True])
def test_message_in_flight_over_two_edits_is_not_repeated_at_the_new_destination(tmp_path, kill):
    async def scenario():
        called, release = asyncio.Event(), asyncio.Event()

        async def fail_later(request, body):
            called.set()
            await release.wait()
            return 500, [], b""

        async with HttpServer(fail_later) as alpha, HttpServer(accept_call) as gamma:
            beta = {"beta": (2, ["127.0.0.1:1"])}
            after = make_config_text(beta | {"gamma": (NUMBER, [gamma.address])})
            async with SidecarProcess(
                tmp_path, make_config_text(beta | {"alpha": (NUMBER, [alpha.address])})
            ) as sidecar:
                await submit(sidecar, "notice", cls="safe")
                await called.wait()
                assert (await sidecar.reload(make_config_text(beta)))["result"] == "applied"
                assert (await sidecar.reload(after))["result"] == "applied"
                await submit(sidecar, "new", cls="safe")
                assert await next_ids(gamma, 1) == ["new"]
                # Otherwise a restart repeats it at the new destination, as its class permits.
                await sidecar.wait_for_status(lambda status: status["held"] == 1)
                if not kill:
                    release.set()
                    await check_handed_back(sidecar, gamma)
            if kill:
                async with SidecarProcess(tmp_path, after) as sidecar:
                    await check_handed_back(sidecar, gamma)

    async def check_handed_back(sidecar, gamma):
        """Checks that the message was completed without a call to the new destination."""
        await sidecar.wait_for_status(lambda status: not status["held"])
        assert [(c["message"], c["outcome"]) for c in sidecar.completions()] == [("notice", "handed_back")]
        assert gamma.requests.empty()

    run_with_timeout(scenario())


# Guards against a destination that comes back under its name, but not to the messages that are held for it.
def test_destination_that_returns_gets_what_is_held_for_it(tmp_path):
    async def scenario():
        async with HttpServer(accept_call) as alpha, HttpServer(accept_call) as gamma:
            async with SidecarProcess(
                tmp_path, make_config_text({"alpha": (NUMBER, ["127.0.0.1:1"])})
            ) as sidecar:
                await submit(sidecar, "for-alpha")
                await sidecar.kill()
            both = {"alpha": (2, [alpha.address]), "gamma": (NUMBER, [gamma.address])}
            async with SidecarProcess(tmp_path, make_config_text(both)) as sidecar:
                assert await next_ids(alpha, 1) == ["for-alpha"]
                await submit(sidecar, "for-gamma")
                assert await next_ids(gamma, 1) == ["for-gamma"]
                await sidecar.wait_for_status(lambda status: not status["held"])
                assert alpha.requests.empty() and not sidecar.completions()

    run_with_timeout(scenario())


# Guards against the same for a submission on which no round has decided when the edit is applied.
def test_submission_that_waits_for_its_round_stays_with_the_removed_destination(tmp_path):
    async def scenario():
        async with ScriptedBroker() as gamma:
            async with Station(tmp_path, make_station_config_text({"alpha": ["127.0.0.1:1"]})) as station:
                station.node.submit(Submission("early", "charge", NUMBER, 0, "", 2000, b"x"))
                text = make_station_config_text({"gamma": [gamma.address]})
                edited = check_text(text, str(tmp_path / "app.toml")).model
                edited.file = station.model.file
                station.node.reconfigure(build_config(edited, 7))
                assert "alpha" in station.node.store.state.destinations
                ids = station.node.core.destination_ids_by_name
                station.source.replace(discovered_endpoints(edited, ids))
                await station.wait_until_settled()
                assert not gamma.effects

    run_with_timeout(scenario())


# The same through AMQP on both sides: publishers, the queue of a destination, and brokers.
def test_broker_that_takes_over_a_number_gets_only_what_is_published_for_it(tmp_path):
    async def scenario():
        async with ScriptedBroker(lambda m: "drop") as alpha, ScriptedBroker() as gamma:
            async with Station(tmp_path, make_station_config_text({"alpha": [alpha.address]})) as station:
                assert await station.submit("for-alpha", "charge", NUMBER)
                await wait_until(lambda: alpha.published)
                context = station.amqp_listener.context
                assert context.held_for(NUMBER) == 1
                text = make_station_config_text({"gamma": [gamma.address]})
                edited = check_text(text, str(tmp_path / "app.toml")).model
                edited.file = station.model.file
                config = build_config(edited, 7)
                station.node.reconfigure(config)
                context.routes = build_routes(config)
                ids = station.node.core.destination_ids_by_name
                station.source.replace(discovered_endpoints(edited, ids))
                assert context.held_for(NUMBER) == 0
                publisher = await station.publisher()
                by_name = Properties(message_id="for-gamma")
                assert await publisher.publish("rainpier", "charge.gamma", b"x", by_name)
                await station.wait_until_settled()
                assert gamma.effects == {"for-gamma": 1}
                assert station.sink.status_by_message["for-alpha"] == "given_up"

    run_with_timeout(scenario())
