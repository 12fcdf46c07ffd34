"""One sending process: the policy, the store and the sockets, each in a component of its own.

Creates the components and runs the rounds: each passes the events since the last one to Sender.handle, and
executes the actions that it returns.
"""

import asyncio
import logging
import math
import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import cast

from .. import interface as i
from ..carriers.http.receivers import Call
from ..config.build import Config
from ..membership.source import EndpointSource
from ..observe.events import CounterLogger, register_gauge
from ..observe.process import memory_use, open_descriptors
from ..policy import Sender
from ..sinks.sink import CompletionSink
from ..store.entry import Entry
from ..tasks import supervise
from .admission import ADMISSION_RETRY_AFTER, Admission
from .completions import Completions
from .core import Core
from .endpoints import EndpointRegistry
from .in_flight import InFlightCalls
from .rounds import Rounds

log = logging.getLogger(__name__)
SWEEP_INTERVAL = 0.1  # s between the periodic checks (Node.run_periodic_checks)
COUNTERS_INTERVAL = 10.0  # s between log records of the counters
MAX_LOGGED_DESTINATIONS = 20  # removed destinations that one edit logs by name
FIRST_UPDATE_TIMEOUT_S = 0.3  # to wait for discovery before messages of an earlier process are resumed


def recorded(sender: Sender) -> Sender:
    """Returns the sender, wrapped to record its rounds if RAINPIER_RECORD names a folder.

    The recorder is imported only if it is used.
    """
    if not (folder := os.environ.get("RAINPIER_RECORD")):
        return sender
    from ..observe.recorder import Recorder

    return cast(Sender, Recorder(sender, Path(folder)))


class Node:
    """The components of one sending process, and the rounds that connect them."""

    def __init__(self, config: Config, source: EndpointSource, sink: CompletionSink) -> None:
        self.source, self.sink = source, sink
        self.rounds = Rounds(config.settings.tick, self.run_round)
        self.core = Core(config, self.rounds.push)
        self.store = self.core.store
        self.sender = recorded(Sender(self.core.settings, config.seed))
        calls_by_message: dict[int, Call] = {}
        self.completions = Completions(self.core, sink, calls_by_message)
        self.calls = InFlightCalls(self.core, self.completions, calls_by_message)
        self.endpoints = EndpointRegistry(
            self.core, self.calls.receivers, self.calls.retry_after, self.calls.places
        )
        self.admission = Admission(self.core, self.completions, self.endpoints, source.complete.is_set)
        self.submit = self.admission.submit
        self.task: asyncio.Task | None = None
        self.register_gauges()

    def register_gauges(self) -> None:
        """Registers what the process uses and holds, beside its limits."""
        receivers = self.calls.receivers
        register_gauge("memory_bytes", lambda: memory_use().resident)
        register_gauge("memory_peak_bytes", lambda: memory_use().peak)
        register_gauge("memory_limit_bytes", lambda: self.core.config.memory)
        register_gauge("descriptors", open_descriptors)
        register_gauge("held_messages", lambda: len(self.store.entries))
        register_gauge("calls", lambda: len(receivers.calls))
        register_gauge("idle_receiver_connections", lambda: len(receivers.idle))

    # --- start and stop ---

    async def start(self) -> None:
        """Starts discovery and resumes the messages that an earlier process left."""
        updates = self.endpoints.updates
        if self.source.cached:
            updates.receive(i.ListKind.CACHED, self.source.cached)
        self.source.start(updates.receive)
        self.sink.start(self.completions.on_notified, self.core.destination_number)
        self.task = self.core.loop.create_task(supervise(self.run_periodic_checks))
        # Otherwise stored messages could be sent to a receiver that began to drain since the last process.
        if self.store.entries:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.source.complete.wait(), FIRST_UPDATE_TIMEOUT_S)
                await updates.wait_until_applied()
        self.calls.report_store_state()
        self.calls.key_pauses.restore()
        updates.in_slices = True  # messages are processed from now on; a large update must not delay them
        for entry in list(self.store.entries.values()):
            self.resume(entry)
        if self.core.config.destinations:
            self.report_removed_destinations()

    def resume(self, entry: Entry) -> None:
        """Resumes a stored message of an earlier process.

        The policy is told of it (Resumed), unless its class is no longer configured.
        """
        interrupted = entry.begun > 0
        if interrupted:  # an attempt without an outcome counts as a connection reset: it may have run
            self.store.record_outcomes([(entry, i.Outcome.RESET)])
            self.calls.key_pauses.begin(entry)
        self.completions.resume(entry)
        cls = self.core.classes.get(entry.cls)
        if cls is None:
            return
        tenant = self.core.tenants.get(entry.tenant, i.NO_TENANT)
        arrival = i.Arrival(entry.number, cls, entry.destination, entry.deadline, entry.key, tenant)
        risky_at, risky_zone = entry.risky_at or math.inf, self.core.zones.number(entry.risky_place.zone)
        self.rounds.push(
            i.Resumed(
                arrival, entry.attempts, risky_at, risky_zone, interrupted, bool(entry.end),
                i.Effect(entry.effect), entry.group, entry.window,
            )
        )  # fmt: skip

    def announce_shutdown(self, at: float) -> None:
        """Tells the policy that the process ends at loop time `at` (s), so that no call outlasts it."""
        self.rounds.push(i.Stopping(at * 1000 + self.core.epoch))

    @property
    def busy(self) -> bool:
        """Whether calls are in flight or completions undelivered."""
        return bool(self.calls.by_message or self.sink.pending)

    def close(self) -> None:
        """Stops all components.

        Attempts still in flight stay in the store as begun: the next process assumes that they may have run.
        """
        if self.task is not None:
            self.task.cancel()
        self.endpoints.updates.close()
        self.source.close()
        self.sink.close()
        self.rounds.close()
        self.calls.receivers.close()
        self.core.commit.close()
        self.store.close()

    # --- rounds ---

    def run_round(self, events: list[i.Event]) -> None:
        """Lets the policy decide on the events, resolves the submissions and executes the actions."""
        submissions = self.admission.start_round()
        actions = self.decide(events)
        decisions = {action.message: action for action in actions if isinstance(action, i.Refuse | i.Fail)}
        for number, pending in submissions.items():
            self.admission.resolve(pending, decisions.pop(number, None))
        for decision in decisions.values():
            self.completions.apply_decision(decision)
        self.execute(actions)
        self.reclaim()

    def decide(self, events: list[i.Event]) -> list[i.Action]:
        """Returns the policy's actions. An event on which it fails does not affect the others.

        After an exception the events of the round are passed again, each by itself; the policy ignores those
        that it has already processed. Actions that it decided before the exception are executed, since it
        counts them as done.
        """
        try:
            return self.sender.handle(self.core.now, events)
        except Exception:
            log.exception(
                "a round of the policy failed: its %d events are processed again one by one", len(events)
            )
        actions = list(self.sender.actions)
        for event in events:
            try:
                actions += self.sender.handle(self.core.now, [event])
            except Exception:
                log.exception("the policy failed on one event: %.200r", event)
                actions += self.sender.actions
                if isinstance(event, i.Arrival):  # refused, so that its client gets a result at once
                    actions.append(i.Refuse(event.message, ADMISSION_RETRY_AFTER))
                    self.rounds.push(i.Withdrawn(event.message))
        return actions

    def execute(self, actions: Iterable[i.Action]) -> None:
        """Executes all actions but Refuse and Fail, which run_round has handled."""
        for action in actions:
            match action:
                case i.SetTimer(token, delay):
                    self.rounds.set_timer(token, delay)
                case i.Forget(endpoint):
                    self.endpoints.forgotten[endpoint] = None
                case i.Log(text):
                    log.info("%s", text)
        self.calls.execute(actions)

    def reclaim(self) -> None:
        """Runs the store's maintenance, and tells the policy if attempts can be recorded or no longer can."""
        self.store.reclaim(self.core.now)
        self.calls.report_store_state()

    async def run_periodic_checks(self) -> None:
        """Runs the checks that must not depend on a round taking place, every SWEEP_INTERVAL."""
        summary, due = CounterLogger(), self.core.loop.time() + COUNTERS_INTERVAL
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self.completions.expire_overdue()
            if self.core.loop.time() >= due:
                due = self.core.loop.time() + COUNTERS_INTERVAL
                summary.log_counts()
            self.reclaim()  # retries records that wait for room
            self.calls.retry_after.drop_expired()
            self.endpoints.release_forgotten()

    # --- a configuration that changes ---

    def reconfigure(self, config: Config) -> None:
        """Applies new classes and destinations between two rounds, so that the next round has all of them.

        Only what `config.change` allows at run time may differ. Endpoints come from the source, which is
        reconfigured separately.
        """
        rebound = self.stricter_classes(config.settings.classes)
        self.core.reconfigure(config, {entry.destination for entry in self.admission.entries})
        self.calls.reconfigure()
        for cls, entries in rebound:
            self.store.rebind_class(entries, int(cls.effect), cls.group, cls.repeat_window)
        self.rounds.push(i.ClassesChange(self.core.settings.classes))
        self.report_removed_destinations()

    def stricter_classes(self, classes: Iterable[i.MessageClass]) -> list[tuple[i.MessageClass, list[Entry]]]:
        """Returns the stored messages to which the changed classes apply stricter terms, by their new class.

        Submissions that wait for their round are changed in place, and not returned.
        """
        stricter: dict[tuple, tuple[i.MessageClass, list[Entry]]] = {}
        by_name = {cls.name: cls for cls in classes}
        for entry in [*self.store.entries.values(), *self.admission.entries]:
            before = (entry.effect, entry.group, entry.window)
            cls = by_name[entry.cls].bound_by(i.Effect(entry.effect), entry.group, entry.window)
            after = (int(cls.effect), cls.group, cls.repeat_window)
            if after == before or cls.effect is i.Effect.SAFE:
                continue
            if entry.number in self.store.entries:
                stricter.setdefault(after, (cls, []))[1].append(entry)
            else:  # not in the store yet: its first record will contain the change
                entry.effect, entry.group, entry.window = after
        return list(stricter.values())

    def report_removed_destinations(self) -> None:
        """Tells the policy which destinations of open messages are no longer configured, and logs them."""
        used = {
            entry.destination for entry in self.admission.entries
        } | self.completions.held_by_destination.keys()
        removed = frozenset(used).difference(self.core.destination_ids.values())
        if removed:
            self.log_removed_destinations(sorted(removed))
        self.rounds.push(i.DestinationsGone(removed))

    def log_removed_destinations(self, removed: list[int]) -> None:
        """Logs which destinations with held messages are no longer configured."""
        names = {known.id: name for name, known in self.store.state.destinations.items()}
        for destination in removed[:MAX_LOGGED_DESTINATIONS]:
            log.warning(
                "destination %d (%s) is no longer configured: its %d held messages are completed, "
                "those in flight with their calls",
                self.core.destination_number(destination),
                names.get(destination, "name not known"),
                self.completions.held_for(destination),
            )
        if len(removed) > MAX_LOGGED_DESTINATIONS:
            log.warning("and %d more destinations", len(removed) - MAX_LOGGED_DESTINATIONS)
