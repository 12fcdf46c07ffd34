"""Random sequences of edits, attempts and restarts: a zone-bound message is repeated only where its key is known."""

import asyncio
import tempfile
from pathlib import Path

from hypothesis import example, given, settings
from hypothesis import strategies as st
from peers import DiscoveryServer, endpoint_entry, make_config, make_node

from rainpier.interface import UNKNOWN_ZONE, Condition, Effect, ListKind, Outcome, ZoneLost
from rainpier.membership.platform import parse_endpoint
from rainpier.store.entry import Entry
from rainpier.store.repeats import may_repeat

ZONES, ENDPOINTS = ("a", "b", "c"), ("r1", "r2", "r3")
LISTS = st.lists(st.sampled_from(ZONES), unique=True, max_size=3)
# The zone of each endpoint that is listed.
LABELS = st.dictionaries(st.sampled_from(ENDPOINTS), st.sampled_from((*ZONES, "unlisted")), min_size=1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("list"), LABELS),
        st.tuples(st.just("restart"), LISTS, LABELS),
        st.tuples(st.just("attempt"), st.sampled_from(ENDPOINTS), st.none() | LABELS),
        st.tuples(st.just("release")),
    ),
    min_size=2, max_size=10,
)  # fmt: skip


class Play:
    """A node whose endpoints are listed by the steps, and one order; `ran` is what the first attempt was like."""

    def __init__(self, folder, discovery):
        self.folder, self.discovery, self.labels, self.ran, self.moved = folder, discovery, {}, None, False
        self.node, self.events = None, []
        self.start([])
        number, self.node.store.next_number = self.node.store.next_number, self.node.store.next_number + 1
        deadline = self.node.core.now + 1e6
        order = Entry(
            number, "order", "keyed", 3, 0, "t", deadline, b"", effect=Effect.KEYED, group="zone", window=1e6
        )
        assert self.node.store.accept(order)

    @property
    def order(self):
        """The order as the store has it now."""
        (entry,) = self.node.store.entries.values()
        return entry

    def start(self, zones):
        """Starts a node with this list of zones, on the folder of the one before."""
        if self.node is not None:
            self.node.close()
        self.node, self.events = make_node(make_config(self.folder, self.discovery, zones=zones)), []
        self.node.core.push = self.events.append

    def list(self, labels):
        """Lists these endpoints, and no others."""
        self.labels = labels
        entries = [endpoint_entry(name, "127.0.0.1:1", zone=zone) for name, zone in labels.items()]
        self.node.endpoints.apply(ListKind.FULL, [parse_endpoint(entry) for entry in entries])
        if self.ran is not None:
            name, zone = self.ran
            self.moved = self.moved or labels.get(name, zone) != zone

    def release(self):
        """Releases the endpoints that are gone, as once the policy has forgotten them."""
        receivers = self.node.calls.receivers.by_number.items()
        gone = [number for number, receiver in receivers if receiver.entry.condition is Condition.GONE]
        self.node.endpoints.forgotten.update(dict.fromkeys(gone))
        self.node.endpoints.release_forgotten()

    def attempt(self, name, labels):
        """Makes an attempt at an endpoint that is listed, if it is allowed, after which the order may have run.

        `labels`: endpoints that are listed before the attempt ends; None: no change.
        """
        if name not in self.labels or not self.allowed(name):
            return
        receiver = next(r for r in self.node.calls.receivers.by_number.values() if r.name == name)
        order, place = self.order, self.node.calls.place_of(receiver)
        order.attempts += 1
        assert self.node.store.record_attempts([order], self.node.core.now, place)
        self.ran = self.ran or (name, self.labels[name])
        if labels is not None:
            self.list(labels)
        self.node.calls.record_outcomes([(order, Outcome.ERROR)])

    def allowed(self, name):
        """Whether the node would send the order to this endpoint."""
        return may_repeat(self.order, self.node.core.now, self.labels[name])

    def check(self):
        """Checks which endpoints the order may be sent to, and that the policy would know of a lost zone."""
        for name, zone in self.labels.items():
            known = self.ran is None or not self.moved and zone == self.ran[1]
            assert self.allowed(name) == known, (name, self.labels, self.ran)
        if self.moved:
            zone = self.node.core.zones.number(self.order.risky_place.zone)
            assert zone == UNKNOWN_ZONE
            assert ZoneLost(self.order.number) in self.events


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STEPS)
@example(
    [
        ("list", {"r1": "a", "r2": "b"}),
        ("attempt", "r1", None),
        ("list", {"r2": "b"}),
        ("release",),
        ("list", {"r1": "b", "r2": "a"}),
    ]
)
@example([("list", {"r1": "a", "r2": "b"}), ("attempt", "r1", {"r1": "b", "r2": "a"})])
def test_an_order_is_allowed_only_where_the_endpoint_that_may_have_run_it_was_and_is(steps):
    async def scenario(folder):
        async with DiscoveryServer() as discovery:
            play = Play(folder, discovery)
            for step, *arguments in steps:
                if step == "restart":
                    play.start(arguments[0])
                    play.moved = (
                        False  # what a list said before the start is not kept, what it says now binds
                    )
                    play.list(arguments[1])
                else:
                    getattr(play, step)(*arguments)
                play.check()
            play.node.close()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(scenario(Path(folder)))
