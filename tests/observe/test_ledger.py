"""Recorded rounds replay to the same decisions, and the ledger names what delayed each message."""

import json
from collections import Counter
from pathlib import Path

import pytest
from click.testing import CliRunner
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
from test_policy import ORDERED, SAFE, T0, UNSAFE, Rig
from test_same import PolicyComparison

from rainpier import interface as i
from rainpier.cli.main import main
from rainpier.observe import blame
from rainpier.observe.fleet import FleetSummary
from rainpier.observe.ledger import End, Ledger
from rainpier.observe.recorder import EVENT_TYPES, Recorder, RecordError, decode, encode, replay

SAMPLES = [  # an event of each type
    i.Arrival(1, 0, 2, 5e8, 7, -1, True),
    i.Result(1, 0, 3, i.Outcome.FULL, 1.5, False, 20.0, (0.5, 2.0), True),
    i.Resumed(i.Arrival(1, 0, 2, 5e8), 2, effect=i.Effect.KEYED, group="zone", repeat_window=3.0),
    i.EndAnswered(1, 2), i.KeyPaused(2, 300.0), i.ClassesChange((SAFE, UNSAFE)), i.DestinationsGone(frozenset({3, 1})),
    i.Remembered(1, 2.0, True), i.Stopping(5.0), i.Stalled(True), i.Withdrawn(4), i.ZoneLost(4),
    i.ListChange(i.ListKind.DELTA, (i.EndpointEntry(1, 2, rate=3.5), i.EndpointEntry(2, 2))),
    i.ProbeResult(1, i.Outcome.OK, 2.0, (1.0,)), i.StreamOpened(1, 0, 2, 3.0), i.PeerNote(1, b""),
    i.TimerDue(0),
]  # fmt: skip


def test_each_type_of_event_is_decoded_as_it_was_encoded():
    assert {type(event) for event in SAMPLES} == set(EVENT_TYPES.values())
    for event in SAMPLES[:-2]:
        assert decode(type(event), json.loads(json.dumps(encode(event)))) == event


def test_replay_gives_the_recorded_decisions_or_names_the_line_where_they_differ(tmp_path):
    comparison = PolicyComparison(5)
    comparison.sender = Recorder(comparison.sender, tmp_path)
    for _ in range(600):
        comparison.now += comparison.rng.choice([1.0, 5.0, 40.0])
        events = comparison.events(3, 0.4)
        for action in comparison.sender.handle(comparison.now, events):
            if isinstance(action, i.Send):
                attempt = comparison.attempts[action.message] = (
                    comparison.attempts.get(action.message, -1) + 1
                )
                comparison.in_flight[action.message, attempt] = (action.endpoint, comparison.now)
    (path,) = tmp_path.iterdir()
    assert len(list(replay(path))) == 600  # the file was not closed, as when its process was killed
    rows = path.read_text().splitlines(keepends=True)
    path.write_text("".join(rows[:300]) + rows[300][:20])
    assert len(list(replay(path))) == 299
    changed_row = json.loads(rows[200])
    path.write_text(
        "".join([*rows[:200], json.dumps([changed_row[0] + 1e5, *changed_row[1:]]) + "\n", *rows[201:]])
    )
    with pytest.raises(RecordError, match=r"jsonl:20\d: actions differ from the recorded ones"):
        list(replay(path))
    path.write_text("".join([*rows[:200], '["odd"]\n']))
    with pytest.raises(RecordError, match="jsonl:201: can't be read"):
        list(replay(path))


def test_a_failure_to_write_the_record_does_not_stop_the_sender(tmp_path):
    (tmp_path / "file").touch()
    comparison = PolicyComparison(5)
    for folder in (Path("/dev/full"), tmp_path / "file" / "rec"):
        assert Recorder(comparison.sender, folder).handle(comparison.now, []) is not None
    recorder = Recorder(comparison.sender, tmp_path)
    recorder.file = open("/dev/full", "w", buffering=1)  # noqa: SIM115
    assert recorder.handle(comparison.now, []) is not None and recorder.file is None


class RigWithLedger(Rig):
    """A Rig that adds each of its rounds to a ledger."""

    def __init__(self, *args, **settings):
        self.ledger = None
        super().__init__(*args, **settings)
        self.ledger = Ledger(self.sender.settings)

    def do(self, *events, after=0.0):
        """Runs a round with the events, `after` ms later, and adds it to the ledger."""
        actions = super().do(*events, after=after)
        if self.ledger is not None:
            self.ledger.add_round(self.now, events, self.sender, actions)
        return actions

    def main_reason(self, message):
        """Returns the reason that delayed the message for the longest time."""
        return self.ledger.accounts[message].delays.most_common(1)[0][0]


def test_the_cause_of_each_delay_is_named():
    rig = RigWithLedger(endpoints=((7, 1), (8, 2), (9, 3)), slots=4)
    rig.arrive(1)  # in flight until the end of the test
    rig.arrive(2, cls=3, key=5)
    rig.arrive(3, cls=3, key=5)  # behind message 2 of the same key
    rig.arrive(4, dest=6)
    rig.arrive(5, dest=2)
    rig.result(5, i.Outcome.FULL, wait=900.0)
    rig.arrive(6, dest=2)
    for n in range(3):
        rig.arrive(10 + n, dest=3)
    rig.run(700.0)
    reasons = {n: rig.main_reason(n) for n in (1, 3, 4, 6)}
    assert reasons == {1: blame.IN_FLIGHT, 3: blame.KEY_ORDER, 4: blame.NO_ENDPOINT, 6: blame.RETRY_AFTER}
    rig.run(400.0)
    assert rig.sender.free_slots == 0
    waiting = [n for n in (5, 6, 10, 11, 12) if not rig.sender.messages[n].in_flight]
    for n in waiting:
        assert blame.delay_reason(rig.sender, rig.sender.messages[n], rig.now) in (blame.SLOTS, blame.WINDOW)


def test_an_outage_and_the_slow_start_after_it_are_different_causes():
    rig = RigWithLedger()
    for n in range(1, 6):
        rig.arrive(n)
    while not rig.sender.states[1][0].circuit_open:
        rig.resolve(i.Outcome.CONNECT_FAILED)
    rig.arrive(20)
    assert blame.destination_delay_reason(rig.sender.states[1][0], rig.now) == blame.OUTAGE
    while rig.sender.states[1][0].circuit_open:
        rig.resolve(i.Outcome.OK)
    for n in range(30, 36):
        rig.arrive(n)
    rig.run(50.0)
    assert blame.SLOW_START in {rig.main_reason(n) for n in range(30, 36)}


def test_worth_lost_is_that_of_late_and_failed_messages():
    rig = RigWithLedger()
    rig.arrive(1)
    rig.result(1, i.Outcome.OK, after=100.0)
    rig.arrive(2)
    rig.result(2, i.Outcome.OK, after=11_000.0)  # half-way between aim and deadline
    rig.arrive(3, cls=2, left=500.0)
    rig.result(3, i.Outcome.TIMEOUT, after=400.0)
    accounts = rig.ledger.accounts
    assert [accounts[n].end for n in (1, 2, 3)] == [End.IN_TIME, End.LATE, End.FAILED]
    assert accounts[1].worth_lost == 0 and accounts[3].worth_lost == UNSAFE.worth
    assert accounts[2].worth_lost == pytest.approx((1 - SAFE.late_worth) / 2)
    assert sum(lost for _, _, lost in rig.ledger.losses()) == pytest.approx(
        accounts[2].worth_lost + accounts[3].worth_lost
    )
    assert rig.ledger.by("cls")[2].total() == UNSAFE.worth and rig.now > T0 and ORDERED.in_order


def test_the_command_reads_the_record_of_a_running_sender(tmp_path, monkeypatch):
    monkeypatch.setenv("RAINPIER_RECORD", str(tmp_path / "rec"))

    async def scenario():
        async with (
            HttpServer(lambda request, body: (500, [], b"")) as receiver,
            DiscoveryServer() as discovery,
        ):
            discovery.endpoints = [endpoint_entry("r1", receiver.address)]
            async with sender(tmp_path, discovery) as node, RespClient(node.port) as client:
                assert await client.request(encode_submission("charge", cls="unsafe")) == "OK"
                await discovery.next_notification()
                await wait_until(lambda: not node.store.entries)

    run_with_timeout(scenario())
    (record,) = (tmp_path / "rec").iterdir()
    result = CliRunner().invoke(main, ["ledger", str(record)])
    assert result.exit_code == 0 and "1 failed" in result.output and "unsafe" in result.output
    record.write_text("no record\n")
    result = CliRunner().invoke(main, ["ledger", str(record)])
    assert result.exit_code == 1 and f"{record}:1: can't be read" in result.output


def test_records_of_several_senders_are_summed_by_destination(tmp_path):
    """Two senders call a destination in one span, and one is refused. A call of two messages counts once."""
    for number in range(2):
        rig = Rig(kinds=(i.Kind(batch=4),), endpoints=((7, 3),))
        rig.sender = Recorder(type(rig.sender)(rig.sender.settings, 1), tmp_path / str(number))
        rig.now = T0
        rig.do(i.ListChange(i.ListKind.FULL, (i.EndpointEntry(7, 3),)))
        rig.do(*(i.Arrival(n, 0, 3, rig.now + 20000.0) for n in (1, 2)), after=10.0)
        outcome = i.Outcome.FULL if number else i.Outcome.OK
        rig.do(
            *(i.Result(n, 0, 7, outcome, 40.0, not number, 300.0 * number, (), True) for n in (1, 2)),
            after=40.0,
        )
        rig.do(after=100.0)
    paths = [next((tmp_path / str(number)).iterdir()) for number in range(2)]
    summary = FleetSummary()
    for path in paths:
        summary.add_record(replay(path))
    total = Counter()
    for _, row in summary.rows(3):
        total.update(row)
    expected = {"handed in": 4, "first": 2, "ok": 1, "refused": 1, "told": 1, "opened": 2, "held": 2}
    assert {name: total[name] for name in expected} == expected and not total["again"]
    assert summary.delay_reasons[3][blame.RETRY_AFTER] == 2
    result = CliRunner().invoke(main, ["ledger", "--fleet", "1", *map(str, paths)])
    assert (
        result.exit_code == 0
        and "all 2 records together" in result.output
        and "100% told wait" in result.output
    )
