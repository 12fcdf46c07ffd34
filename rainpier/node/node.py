"""Rounds: what happened goes into Sender.handle once a round, and what it decides is carried out."""

import asyncio
import logging
import math
import os
import time
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, replace
from itertools import islice
from pathlib import Path
from typing import cast

from .. import interface as i
from ..carriers.http.receivers import Call, Carriers, Ending, Receivers, batches
from ..config.place import Config
from ..config.platform import ConfigError, address
from ..handed import Answer, Answered, Busy, Handed, Known, Taken, Wrong
from ..membership.platform import read_hosts
from ..membership.source import Host, Source
from ..policy import EVICT_AT, Sender
from ..sinks.sink import Sink
from ..store.commit import Commit
from ..store.entry import Entry
from ..store.files import Folder
from ..store.store import Store
from ..structures.schedule import Schedule
from ..tasks import keep
from .listing import Listing

log = logging.getLogger(__name__)
GIVEN_UP, HANDED_BACK = "given_up", "handed_back"
DELIVERED, OVER = "delivered", "over"
OVERDUE = 100.0  # ms after a message's time at which it is ended whatever the module says
SWEEP = 0.1  # s between looks for such messages
FIRST_LIST = 0.3  # s to wait for it before messages of an earlier process go on
SPANS = 2  # times its class's deadline that a message may ask for at most
DOOR_WAIT = 1000  # ms after which a client may come again where there is no room at all
FAILURES = (i.Outcome.ERROR, i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CONNECT_FAILED)
MOST_FORGOTTEN = 500  # receivers looked at in one sweep: guards against a long stop where many leave


def brokers(settings: i.Settings, config: Config) -> Carriers | None:
    """What carries calls to brokers; loaded only where there are some, since a start should be short."""
    if not config.brokers:
        return None
    from ..carriers.amqp.brokers import Brokers

    return Brokers(settings, config.brokers)


def recorded(sender: Sender) -> Sender:
    """The sender, with its rounds recorded where RAINPIER_RECORD names a folder; loaded only then."""
    if not (folder := os.environ.get("RAINPIER_RECORD")):
        return sender
    from ..observe.recorder import Recorder

    return cast(Sender, Recorder(sender, Path(folder)))


@dataclass(slots=True, eq=False)
class Intake:
    """A message handed in, until the round that takes it on or refuses it."""

    entry: Entry
    answer: asyncio.Future[Answer]


class Node:
    """One sender: the module, its store, and the sockets round it."""

    def __init__(self, config: Config, source: Source, sink: Sink) -> None:
        self.config, self.source, self.sink = config, source, sink
        self.loop = asyncio.get_running_loop()
        self.s = replace(config.settings, ends_answered=True)
        self.epoch = time.time() * 1000 - self.loop.time() * 1000  # one clock for all processes
        self.sender = recorded(Sender(self.s, config.seed))
        self.classes = {cls.name: number for number, cls in enumerate(self.s.classes)}
        self.tenants = {tenant.name: number for number, tenant in enumerate(self.s.tenants)}
        self.kinds = {kind.name: number for number, kind in enumerate(self.s.kinds)}
        self.store = Store(Folder(config.state), config.disk, self.now, config.machine)
        self.commit = Commit(self.store)
        known = self.store.state  # by an earlier process
        self.remembered = (dict(known.waits), dict(known.outages))
        self.receivers = Receivers(self.s, self.may_write, self.on_ended, config.for_calls)
        self.receivers.brokers = brokers(self.s, config)
        self.receivers.early = self.on_early
        self.replies: Callable[[Entry, str], None] | None = None  # takes the ends of messages with a reply-to
        self.held: Counter[int] = Counter()  # by destination: messages in the store
        self.late: Schedule[int] = Schedule()  # messages, by when they are ended whatever the module says
        self.owed: Counter[str] = Counter()  # by reply queue: ends that will go there
        self.events: list[i.Event] = []
        self.intake: dict[int, Intake] = {}  # by number, until the next round
        self.names: dict[str, Intake] = {}  # the same by id
        self.out: dict[int, Call] = {}  # by message: the call that it travels in
        self.hosts: dict[str, int] = {}  # the numbers of receivers, by name
        self.next_host = 1
        self.destinations: Counter[int] = Counter()  # receivers that are remembered, by destination
        self.numbers: frozenset[int] = frozenset()  # of the destinations that the configuration has
        self.listing = Listing(self.take_up, self.hosts, self.gone)
        self.forgotten: dict[int, None] = {}  # receivers that the module has dropped; calls may be open
        self.told_until: Schedule[tuple[str, int]] = Schedule()  # by route: until then a told wait holds
        self.next_round: asyncio.TimerHandle | None = None
        self.last_round = -math.inf
        self.stalled = False  # the module was told that no attempt can be recorded
        self.timers: dict[int, asyncio.TimerHandle] = {}  # by the module's token
        self.tasks: list[asyncio.Task] = []

    @property
    def now(self) -> float:
        """Unix time, ms."""
        return self.loop.time() * 1000 + self.epoch

    # --- start and stop ---

    async def start(self) -> None:
        """Take up the list and what an earlier process left."""
        if self.config.known:
            self.listing.told(i.ListKind.CACHED, read_hosts(self.config.known))
        self.source.start(self.listing.told)
        self.sink.start(self.on_answered)
        self.tasks.append(self.loop.create_task(keep(self.sweep)))
        # Guards against sending what was left to a receiver that drained meanwhile.
        if self.store.entries:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.source.whole.wait(), FIRST_LIST)
                await self.listing.done()
        self.store.name(self.config.destinations)
        self.watch_store()
        self.listing.in_slices = True  # from now on there is somebody to keep waiting
        for entry in list(self.store.entries.values()):
            self.resume(entry)
        if self.config.destinations:
            self.close_destinations()

    def resume(self, entry: Entry) -> None:
        cls = self.classes.get(entry.cls)
        self.own(entry)
        if entry.reply_to:
            self.owed[entry.reply_to] += 1
        if entry.end:
            self.tell(entry, entry.end)
            self.sink.add(entry)
        elif cls is None:
            log.error("message %s is of a class that is no longer known: %s", entry.id, entry.cls)
            self.conclude(entry, GIVEN_UP, 0)
        if cls is None:
            return
        interrupted = entry.begun > 0
        if interrupted:  # begun and without an outcome: as if its connection had been reset
            self.store.results([(entry, i.Outcome.RESET)])
        tenant = self.tenants.get(entry.tenant, i.NO_TENANT)
        arrival = i.Arrival(entry.number, cls, entry.destination, entry.deadline, entry.key, tenant)
        risky_at = entry.risky_at or math.inf
        self.push(
            i.Resumed(
                arrival, entry.attempts, risky_at, entry.risky_zone, interrupted, bool(entry.end),
                i.Effect(entry.effect), entry.group, entry.window,
            )
        )  # fmt: skip

    def stopping(self, at: float) -> None:
        """The process will end at that loop time."""
        self.push(i.Stopping(at * 1000 + self.epoch))

    @property
    def busy(self) -> bool:
        """Calls are out, or notices unanswered."""
        return bool(self.out or self.sink.waiting)

    def close(self) -> None:
        """What is still out stays in the store as begun, for the next process: it may have run."""
        for task in self.tasks:
            task.cancel()
        self.listing.close()
        self.source.close()
        self.sink.close()
        for timer in self.timers.values():
            timer.cancel()
        if self.next_round is not None:
            self.next_round.cancel()
        self.receivers.close()
        self.commit.close()
        self.store.close()

    # --- rounds ---

    def push(self, event: i.Event) -> None:
        self.events.append(event)
        if self.next_round is None:
            at = max(self.loop.time(), self.last_round + self.s.tick / 1000)
            self.next_round = self.loop.call_at(at, self.round)

    def round(self) -> None:
        self.next_round, self.last_round = None, self.loop.time()
        events, self.events = self.events, []
        intake, self.intake, self.names = self.intake, {}, {}
        try:
            actions = self.sender.handle(self.now, events)
        except Exception:  # its messages still get their end: see sweep
            log.exception("a round failed: %d events", len(events))
            actions = []
        ends = {a.message: a for a in actions if isinstance(a, i.Refuse | i.Fail)}
        for number, handed in intake.items():
            self.settle_intake(handed, ends.pop(number, None))
        for end in ends.values():
            self.on_end(end)
        self.carry_out(actions)
        self.tidy()

    def tidy(self) -> None:
        self.store.tidy(self.now)
        self.watch_store()

    def watch_store(self) -> None:
        if self.store.stuck != self.stalled:
            self.stalled = self.store.stuck
            log.warning("no room to record attempts: none begins" if self.stalled else "attempts begin again")
            self.push(i.Stalled(self.stalled))

    def settle_intake(self, handed: Intake, end: i.Refuse | i.Fail | None) -> None:
        """A message is taken on once it is in the store, and only then is its client told so."""
        entry = handed.entry
        if end is None and self.store.take(entry):
            self.own(entry)
            return self.store.sure(lambda: self.answer(handed, Taken()))
        self.unowe(entry)
        if isinstance(end, i.Refuse):
            answer: Answer = Busy(math.ceil(end.retry_after))
        elif end is not None:
            answer = Wrong("given up")
        else:
            answer = Busy(DOOR_WAIT)
            self.push(i.Withdrawn(entry.number))
        if end is not None and entry.key:
            self.push(i.EndAnswered(entry.number, entry.key))
        self.answer(handed, answer)

    def own(self, entry: Entry) -> None:
        """It is in the store, and owed its end."""
        self.held[entry.destination] += 1
        self.late.set(entry.number, entry.deadline + OVERDUE)

    def over(self, entries: list[Entry]) -> None:
        """Nothing more is owed for these."""
        for entry in entries:
            if entry.number in self.store.entries:
                self.late.drop(entry.number)
                self.held[entry.destination] -= 1
                if not self.held[entry.destination]:
                    del self.held[entry.destination]
        self.store.over(entries)

    @staticmethod
    def answer(handed: Intake, answer: Answer) -> None:
        if not handed.answer.done():
            handed.answer.set_result(answer)

    def carry_out(self, actions: Iterable[i.Action]) -> None:
        sends: dict[int, list[i.Send]] = {}
        for action in actions:
            match action:
                case i.Send():
                    sends.setdefault(action.endpoint, []).append(action)
                case i.Cancel(message):
                    if (call := self.out.get(message)) and call.task:
                        call.task.cancel()
                case i.SetTimer(token, delay):
                    self.set_timer(token, delay)
                case i.CloseIdle(endpoint):
                    self.receivers.close_idle(self.receivers.listed[endpoint])
                case i.OutageChange(endpoint, down):
                    receiver = self.receivers.listed[endpoint]
                    self.store.outage(self.route_name(receiver.listed), self.now if down else 0.0)
                case i.Forget(endpoint):
                    self.forgotten[endpoint] = None
                case i.Log(text):
                    log.info("%s", text)
        for endpoint, sent in sends.items():
            self.send(endpoint, sent)

    def set_timer(self, token: int, delay: float) -> None:
        """The module asks for the soonest it needs: guards against rounds for timers that are superseded."""
        if token in self.timers:
            self.timers[token].cancel()
        self.timers[token] = self.loop.call_later(delay / 1000, self.push, i.TimerDue(token))

    def send(self, endpoint: int, sends: list[i.Send]) -> None:
        """What a round sends to one receiver travels together, as far as its kind allows."""
        receiver, now = self.receivers.listed.get(endpoint), self.loop.time()
        timeouts = {send.message: send.timeout for send in sends}
        unable = timeouts.keys() - self.store.entries.keys() if receiver else timeouts.keys()
        for message in unable:
            # Guards the module's slots: what could not be stored is not sent, and its attempt is over.
            self.push(i.Result(message, 0, endpoint, i.Outcome.MOOT, closed=True))
        if receiver is None:
            return
        owed = [self.store.entries[message] for message in timeouts if message in self.store.entries]
        for entries in batches(owed, receiver.batch):
            longest = max(timeouts[entry.number] for entry in entries)
            call = Call(receiver, entries, [entry.attempts for entry in entries], now, now + longest / 1000)
            for entry in entries:
                entry.attempts += 1
                self.out[entry.number] = call
                timeout = timeouts[entry.number]
                # Guards against one message at its deadline cutting short the call of the others.
                if timeout < longest and entry.deadline < call.until * 1000 + self.epoch:
                    self.loop.call_later(timeout / 1000, self.expire, call, entry)
            self.receivers.start(call)

    # --- intake ---

    def put(self, put: Handed) -> Answered:
        """A client hands in a message."""
        if put.cls not in self.classes:
            return Wrong(f"unknown class {put.cls}")
        if put.tenant and self.tenants and put.tenant not in self.tenants:
            return Wrong(f"unknown tenant {put.tenant}")
        if put.destination not in self.destinations or self.numbers and put.destination not in self.numbers:
            return Wrong(f"unknown destination {put.destination}")
        if len(put.body) > self.config.largest_body:
            return Wrong(f"body longer than {self.config.largest_body} bytes")
        cls = self.classes[put.cls]
        if put.span > SPANS * self.s.classes[cls].deadline:
            return Wrong(f"field d out of range: {put.span}")
        if put.id in self.names:
            self.redirect(self.names[put.id].entry, put)
            return self.names[put.id].answer
        if self.store.knows(put.id, self.now):  # guards against taking on twice what came twice
            known = self.store.entries.get(self.store.state.numbers.get(put.id, 0))
            self.redirect(known, put)
            return Known(owed=known is not None and not known.told)
        held = len(self.store.entries) + len(self.intake)
        if held >= self.s.max_open or not self.store.room(put.body):
            return Busy(DOOR_WAIT)
        number, self.store.next = self.store.next, self.store.next + 1
        key = put.key if self.s.classes[cls].in_order else 0
        deadline = self.now + put.span
        entry = Entry(number, put.id, put.cls, put.destination, key, put.token, deadline, put.body)
        effect = self.s.classes[cls]
        entry.effect, entry.group, entry.window = int(effect.effect), effect.group, effect.repeat_window
        entry.reply_to, entry.correlation = put.reply_to, put.correlation
        entry.tenant, tenant = put.tenant, self.tenants.get(put.tenant, i.NO_TENANT)
        if put.reply_to:
            self.owed[put.reply_to] += 1
        handed = self.intake[number] = self.names[put.id] = Intake(entry, self.loop.create_future())
        self.push(
            i.Arrival(number, cls, put.destination, deadline, key, tenant, put.repeated, put.inherited),
        )
        return handed.answer

    @property
    def full(self) -> bool:
        """A message that is taken on now costs another one its place, or there is no room at all."""
        most = max(1, math.floor(EVICT_AT * self.s.max_open))
        return len(self.store.entries) + len(self.intake) >= most or not self.store.room(b"")

    def held_for(self, destination: int) -> int:
        return self.held[destination]

    # --- ends for reply queues ---

    def redirect(self, entry: Entry | None, put: Handed) -> None:
        """Who hands in again what is still held gets its end: the queue named before may be gone."""
        if put.reply_to and entry is not None and not entry.told:
            self.unowe(entry)
            entry.reply_to, entry.correlation = put.reply_to, put.correlation
            self.owed[put.reply_to] += 1

    def unowe(self, entry: Entry) -> None:
        if entry.reply_to:
            self.owed[entry.reply_to] -= 1
            if self.owed[entry.reply_to] <= 0:
                del self.owed[entry.reply_to]

    def tell(self, entry: Entry, outcome: str) -> None:
        """The one end of a message, to its reply queue."""
        if not entry.reply_to or entry.told:
            return
        entry.told = True
        self.unowe(entry)
        if self.replies is not None:
            self.replies(entry, outcome)

    # --- a configuration that changes ---

    def reconfigure(self, config: Config) -> None:
        """Take over classes and destinations, between two rounds: the next one knows all of them.

        Only what `config.change` allows while the process runs may differ. The list of endpoints comes from
        the source, which is told apart.
        """
        bound = self.stricter(config.settings.classes)
        self.config, self.s = config, replace(self.s, classes=config.settings.classes)
        self.receivers.brokers = brokers(self.s, config)
        self.classes = {cls.name: number for number, cls in enumerate(self.s.classes)}
        for cls, entries in bound:
            self.store.bind(entries, int(cls.effect), cls.group, cls.repeat_window)
        self.store.name(config.destinations)
        self.held = Counter(entry.destination for entry in self.store.entries.values())  # renumbered, maybe
        self.push(i.ClassesChange(self.s.classes))
        self.close_destinations()

    def stricter(self, classes: Iterable[i.MessageClass]) -> list[tuple[i.MessageClass, list[Entry]]]:
        """What is held under classes that bind it more strictly from now on, with what binds it then."""
        held: dict[tuple, tuple[i.MessageClass, list[Entry]]] = {}
        by_name = {cls.name: cls for cls in classes}
        for entry in [*self.store.entries.values(), *(handed.entry for handed in self.intake.values())]:
            before = (entry.effect, entry.group, entry.window)
            cls = by_name[entry.cls].bound_by(i.Effect(entry.effect), entry.group, entry.window)
            after = (int(cls.effect), cls.group, cls.repeat_window)
            if after == before or cls.effect is i.Effect.SAFE:
                continue
            if entry.number in self.store.entries:
                held.setdefault(after, (cls, []))[1].append(entry)
            else:  # not in the store yet: its first record says so
                entry.effect, entry.group, entry.window = after
        return list(held.values())

    def close_destinations(self) -> None:
        """What is held for a destination that the configuration no longer has gets its end now."""
        self.numbers = frozenset(self.config.destinations.values())
        used = {handed.entry.destination for handed in self.intake.values()} | self.held.keys()
        self.push(i.DestinationsGone(frozenset(used) - self.numbers))

    # --- calls ---

    def route(self, listed: i.Listed) -> tuple[str, int]:
        """What a told wait binds: the destination, or the receiver where routes are apart."""
        apart = self.s.kinds[listed.kind].apart
        return ("receiver", listed.endpoint) if apart else ("destination", listed.destination)

    def route_name(self, listed: i.Listed) -> str:
        """The same for every process: receivers are numbered anew by each."""
        apart = self.s.kinds[listed.kind].apart
        return f"r{self.receivers.listed[listed.endpoint].host}" if apart else f"d{listed.destination}"

    def may_write(self, call: Call) -> bool | asyncio.Future[bool]:
        """The connection is up, and the first byte goes out now: unless something was told meanwhile."""
        if not self.may_go(call):
            return False
        if not self.store.begin(call.entries, self.now, call.receiver.listed.zone):
            self.watch_store()
            return False
        if not self.store.machine:
            return True
        # Once it is on the disk, which takes a while: what is told meanwhile binds too.
        sure = self.loop.create_future()
        self.store.sure(lambda: sure.done() or sure.set_result(self.may_go(call)))
        return sure

    def may_go(self, call: Call) -> bool:
        receiver, now = call.receiver, self.loop.time()
        # Guards drains and waits against calls whose connection took long to come up.
        if now - receiver.told_at > self.s.drain_grace / 2000:
            return False
        return now >= self.told_until.times.get(self.route(receiver.listed), 0.0)

    def on_ended(self, call: Call, ending: Ending) -> None:
        if ending.wait:
            route = self.route(call.receiver.listed)
            until = self.loop.time() + ending.wait / 1000
            self.told_until.set(route, max(self.told_until.times.get(route, 0.0), until))
            self.store.wait(self.route_name(call.receiver.listed), until * 1000 + self.epoch)
        self.log_failures(call, ending)
        over, owed = [], []
        for entry, attempt, (outcome, nothing_owed) in zip(
            call.entries, call.attempts, ending.outcomes, strict=True
        ):
            if entry.number in call.settled:
                if self.out.get(entry.number) is call:  # else another attempt of it may be out by now
                    self.release(entry)
                continue
            closed = nothing_owed or outcome is i.Outcome.OK
            over.append(entry) if closed else owed.append((entry, outcome))
            if closed and not entry.end:
                self.tell(entry, DELIVERED if outcome is i.Outcome.OK else OVER)
            self.settle(call, entry, attempt, outcome, closed, ending)
        if over:
            self.over(over)
        self.store.results(owed)

    def on_early(self, call: Call, entry: Entry, outcome: i.Outcome) -> None:
        """A message has its outcome while its call goes on for the others."""
        if not call.open or entry.number in call.settled:
            return
        call.settled.add(entry.number)
        attempt, closed = call.attempts[call.entries.index(entry)], outcome is i.Outcome.OK
        if closed and not entry.end:
            self.tell(entry, DELIVERED)
        self.settle(call, entry, attempt, outcome, closed, Ending([]))
        if closed:
            self.over([entry])
        else:
            self.store.results([(entry, outcome)])

    def log_failures(self, call: Call, ending: Ending) -> None:
        """For those who look into an outage; refusals are a destination's daily business."""
        took = (self.loop.time() - call.started) * 1000
        failed = Counter(outcome for outcome, _ in ending.outcomes if outcome in FAILURES)
        for outcome, count in failed.items():  # one line for a batch: an outage fails hundreds a second
            log.info(
                "%s and %d more to %s: %s after %.0f ms, use %d of its connection",
                call.entries[0].id, count - 1, call.receiver.host, outcome.name, took, call.uses,
            )  # fmt: skip

    def expire(self, call: Call, entry: Entry) -> None:
        """A message's own time is up while its call goes on for the others."""
        if call.open and entry.number not in call.settled:
            call.settled.add(entry.number)
            self.store.results([(entry, i.Outcome.TIMEOUT)])
            attempt = call.attempts[call.entries.index(entry)]
            ending = Ending([])
            self.settle(call, entry, attempt, i.Outcome.TIMEOUT, False, ending)
            self.out[entry.number] = call  # still: its key's next one waits for the call

    def settle(
        self, call: Call, entry: Entry, attempt: int, outcome: i.Outcome, closed: bool, ending: Ending
    ) -> None:
        self.out.pop(entry.number, None)
        elapsed = (self.loop.time() - call.started) * 1000
        endpoint = call.receiver.listed.endpoint
        fresh, wait, report = call.uses == 1, ending.wait, ending.report
        self.push(i.Result(entry.number, attempt, endpoint, outcome, elapsed, closed, wait, report, fresh))

    # --- ends ---

    def on_end(self, action: i.Refuse | i.Fail) -> None:
        entry = self.store.entries.get(action.message)
        if entry is None or entry.end:
            return
        if isinstance(action, i.Refuse):
            self.conclude(entry, HANDED_BACK, math.ceil(action.retry_after))
        else:
            self.conclude(entry, GIVEN_UP, 0)

    def conclude(self, entry: Entry, end: str, retry: int) -> None:
        log.info("message %s of %s for destination %d: %s", entry.id, entry.cls, entry.destination, end)
        self.store.end(entry, end, retry, lambda: self.ended(entry))  # told only once it is written

    def ended(self, entry: Entry) -> None:
        self.tell(entry, entry.end)
        self.sink.add(entry)

    def on_answered(self, entries: list[Entry]) -> None:
        self.over(entries)
        for entry in entries:
            if entry.number not in self.out:
                self.release(entry)

    def release(self, entry: Entry) -> None:
        """Its notice is answered and none of its calls is open: its key's next message may go."""
        self.out.pop(entry.number, None)
        if entry.key and entry.number not in self.store.entries:
            self.push(i.EndAnswered(entry.number, entry.key))

    async def sweep(self) -> None:
        """Guards against a message without an end: whatever went wrong, its client is told in time."""
        while True:
            await asyncio.sleep(SWEEP)
            for number in self.late.due(self.now):
                entry = self.store.entries.get(number)
                if entry is None or entry.end:
                    continue
                log.error("message %s was not ended in time; given up", entry.id)
                self.push(i.Withdrawn(entry.number))
                self.conclude(entry, GIVEN_UP, 0)
            self.tidy()  # also without rounds: what waits for room is tried again
            self.forget()

    def forget(self) -> None:
        """Drop what is kept of receivers that are gone for good, and waits that are over."""
        self.told_until.due(self.loop.time())
        for number in list(islice(self.forgotten, MOST_FORGOTTEN)):
            receiver = self.receivers.listed.get(number)
            del self.forgotten[number]
            if receiver is None:
                continue
            if not self.receivers.forget(number):
                self.forgotten[number] = None  # a call to it is open: again, behind the others
            else:
                if self.hosts.get(receiver.host) == number:
                    del self.hosts[receiver.host]
                self.leave(receiver.listed.destination)

    # --- the list ---

    def gone(self, name: str) -> Host:
        """What the list says of a known receiver that it lacks."""
        receiver = self.receivers.listed[self.hosts[name]]
        listed, (address, port) = receiver.listed, receiver.address
        zone = self.config.zones[listed.zone] if listed.zone < len(self.config.zones) else ""
        kind, rate = self.s.kinds[listed.kind].name, listed.rate or 0.0
        dial = f"[{address}]:{port}" if ":" in address else f"{address}:{port}"
        return Host(name, dial, zone, kind, listed.destination, i.Condition.GONE, rate, listed.added)

    def take_up(self, kind: i.ListKind, hosts: list[Host]) -> None:
        """A part of the list, or all of it, between two rounds."""
        entries = [listed for host in hosts if (listed := self.listed(host)) is not None]
        if kind is not i.ListKind.DELTA:  # a receiver missing from a whole list is gone
            present = {entry.endpoint for entry in entries}
            for number, receiver in self.receivers.listed.items():
                if number not in present:
                    gone = replace(receiver.listed, condition=i.Condition.GONE)
                    self.receivers.update(gone, receiver.host, receiver.address)
        self.push(i.ListChange(kind, tuple(entries)))
        self.remember(entries)

    def remember(self, entries: list[i.Listed]) -> None:
        """What an earlier process was told, or had found out, of the routes to these: once for each route."""
        waits, outages = self.remembered
        for listed in entries if waits or outages else ():
            name = self.route_name(listed)
            until, since = waits.pop(name, 0.0), outages.pop(name, 0.0)
            until = until if self.config.destinations else 0.0  # the platform's rule: a restart ends a wait
            if until > self.now:
                self.told_until.set(self.route(listed), (until - self.epoch) / 1000)
            if until > self.now or since:
                self.push(i.Remembered(listed.endpoint, max(0.0, until - self.now), since > 0))

    def listed(self, host: Host) -> i.Listed | None:
        if host.kind not in self.kinds:
            log.error("discovery: %s is of an unknown class: %s", host.name, host.kind)
            return None
        try:
            dial = address(host.dial, host.name)
        except ConfigError as failure:
            log.error("discovery: %s", failure)
            return None
        number = self.number(host)
        if number is None:
            return None
        zone = self.config.zones.index(host.site) if host.site in self.config.zones else 0
        rate = host.share if self.config.rated else None
        listed = i.Listed(number, host.block, zone, self.kinds[host.kind], host.health, rate, host.born)
        known = self.receivers.listed.get(number)
        if known is None or known.listed.destination != host.block:
            self.destinations[host.block] += 1
            if known is not None:
                self.leave(known.listed.destination)
        self.receivers.update(listed, host.name, dial)
        return listed

    def leave(self, destination: int) -> None:
        """One receiver fewer is remembered for it."""
        self.destinations[destination] -= 1
        if not self.destinations[destination]:
            del self.destinations[destination]

    def number(self, host: Host) -> int | None:
        """A receiver's number in this process; none for one that is gone before it was known."""
        number = self.hosts.get(host.name)
        if number in self.forgotten:  # the module knows it no longer; its last calls may still be open
            number = None
        if number is None and host.health is not i.Condition.GONE:
            number = self.hosts[host.name] = self.next_host
            self.next_host += 1
        return number
