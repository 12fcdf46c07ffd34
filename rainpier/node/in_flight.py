"""In-flight calls: checks and records each attempt before its first byte, and handles its outcome.

Starts the calls and records their attempts in the store. What an outcome means for a message is the policy's
decision; completions.py completes the message.
"""

import asyncio
import logging
from collections.abc import Iterable

from .. import interface as i
from ..attempt.rules import RULES
from ..carriers.http.receivers import Call, CallResult, Receiver, Receivers, Transports, split_batches
from ..observe.events import record
from ..store.entry import AttemptPlace, Entry
from ..store.repeats import may_repeat
from .attempt_places import AttemptPlaces, attempt_place
from .call_log import log_attempt, log_call, log_held_back
from .completions import Completions
from .core import Core
from .key_pauses import KeyPauses
from .retry_after import RetryAfterDeadlines

log = logging.getLogger(__name__)
EXPIRY_LEAD_TICKS = 2  # before a deadline: the policy decides in a later round, at most a tick after


def load_brokers(core: Core) -> Transports | None:
    """Returns the AMQP transports; None if no broker is configured.

    Their modules are imported only if one is, to keep the start short.
    """
    if not core.config.brokers:
        return None
    from ..carriers.amqp.brokers import BrokerTransports

    options = {core.destination_ids[number]: options for number, options in core.config.brokers.items()}
    return BrokerTransports(core.settings, options)


class InFlightCalls:
    """The open calls of a node. One call carries one or more messages, each with an attempt of its own."""

    def __init__(self, core: Core, completions: Completions, by_message: dict[int, Call]) -> None:
        """`by_message`: open calls by message number; changed only by this component."""
        self.core, self.store, self.completions, self.by_message = core, core.store, completions, by_message
        self.receivers = Receivers(
            core.settings, self.may_write, self.on_result, core.config.call_descriptors
        )
        self.receivers.on_partial_result = self.on_partial_outcome
        self.retry_after = RetryAfterDeadlines(core, self.receivers)
        self.key_pauses = KeyPauses(core)
        self.places = AttemptPlaces(core)
        completions.on_overdue_in_flight = self.record_open_call
        self.reconfigure()

    def reconfigure(self) -> None:
        """Takes broker options and deadlines from the current configuration, for endpoints added later."""
        self.retry_after.load()
        self.receivers.transports = load_brokers(self.core)

    def report_store_state(self) -> None:
        """Tells the policy and the log when attempts can't be recorded any more, and when they can again."""
        if self.store.read_only != self.core.stalled:
            self.core.stalled = self.store.read_only
            stopped = "store is read-only: attempts can't be recorded, so none begins"
            resumed = "store is writable again: attempts begin again"
            log.warning(stopped if self.store.read_only else resumed)
            record(
                "store", "cannot_record" if self.store.read_only else "records_again", level=logging.WARNING
            )
            self.core.push(i.Stalled(self.core.stalled))

    # --- actions of a round ---

    def execute(self, actions: Iterable[i.Action]) -> None:
        """Executes the actions on calls and connections; sends come last."""
        sends: dict[int, list[i.Send]] = {}
        for action in actions:
            match action:
                case i.Send():
                    sends.setdefault(action.endpoint, []).append(action)
                case i.Cancel(message):
                    if (call := self.by_message.get(message)) and call.task:
                        call.task.cancel()
                case i.CloseIdle(endpoint):
                    self.receivers.close_idle(self.receivers.by_number[endpoint])
                case i.OutageChange(endpoint, down):
                    route = self.retry_after.route_name(self.receivers.by_number[endpoint].entry)
                    self.store.record_outage(route, self.core.now if down else 0.0)
        for endpoint, endpoint_sends in sends.items():
            self.send(endpoint, endpoint_sends)

    def send(self, endpoint: int, sends: list[i.Send]) -> None:
        """Sends a round's messages for one receiver, in batches as large as its kind allows."""
        receiver, now = self.receivers.by_number.get(endpoint), self.core.loop.time()
        timeouts = {send.message: send.timeout for send in sends}
        unstored = timeouts.keys() - self.store.entries.keys() if receiver else timeouts.keys()
        for message in unstored:
            # A message that could not be stored is not sent. Its attempt still gets an outcome, since the
            # policy would otherwise count its slot as occupied.
            self.core.push(i.Result(message, 0, endpoint, i.Outcome.MOOT, closed=True))
        if receiver is None:
            return
        stored = [self.store.entries[message] for message in timeouts if message in self.store.entries]
        allowed = [entry for entry in stored if self.may_begin(entry, receiver)]
        for entries in split_batches(allowed, receiver.batch):
            longest = max(timeouts[entry.number] for entry in entries)
            call = Call(receiver, entries, [entry.attempts for entry in entries], now, now + longest / 1000)
            for entry in entries:
                entry.attempts += 1
                self.by_message[entry.number] = call
                self.schedule_expiry(call, entry)
            self.receivers.start(call)

    def schedule_expiry(self, call: Call, entry: Entry) -> None:
        """Lets the attempt of a message expire shortly before its deadline, if its call may go on then.

        Not at a shorter time-out of its own: the message can't be sent again before the call has ended.
        """
        if entry.deadline < call.deadline * 1000 + self.core.epoch:
            lead = EXPIRY_LEAD_TICKS * self.core.settings.tick
            delay = max(0.0, entry.deadline - lead - self.core.now)
            self.core.loop.call_later(delay / 1000, self.expire, call, entry)

    # --- before the first byte ---

    def may_begin(self, entry: Entry, receiver: Receiver) -> bool:
        """Whether an attempt may begin. If the rules forbid it, logs that and reports the outcome MOOT."""
        zone = self.zone_of(receiver)
        endpoint = receiver.entry
        repeat = may_repeat(entry, self.core.now, zone) and entry.destination == endpoint.destination
        if RULES.may_begin(entry.number in self.by_message, bool(entry.end), repeat):
            return True
        log.error(
            "message %s may not be sent now: in flight: %s, final status: %r, repeat allowed: %s",
            entry.id,
            entry.number in self.by_message,
            entry.end,
            repeat,
        )
        entry.attempts += 1  # keeps the count equal to the policy's
        self.core.push(i.Result(entry.number, entry.attempts - 1, endpoint.endpoint, i.Outcome.MOOT))
        return False

    def may_write(self, call: Call) -> bool | asyncio.Future[bool]:
        """Records the attempts, once the connection is up; returns whether the first byte may be written.

        Returns a future of that if the records have to be synced to the disk first.
        """
        if not self.may_proceed(call):
            return False
        if not self.store.record_attempts(call.entries, self.core.now, self.place_of(call.receiver)):
            log_held_back(call, "not_recorded")
            self.report_store_state()
            return False
        if not self.store.fsync_required:
            return True
        # Checked again after the fsync: drains and retry-after deadlines that arrive during it apply too.
        durable = self.core.loop.create_future()
        self.store.when_durable(lambda: durable.done() or durable.set_result(self.may_proceed(call)))
        return durable

    def may_proceed(self, call: Call) -> bool:
        """Removes the messages that may not be written from the call; returns whether any is left.

        Endpoints, drains, retry-after deadlines, final statuses and repeat windows may have changed since the
        call was started, while it connected or its records were synced.
        """
        endpoint, now, zone = call.receiver.entry, self.core.now, self.zone_of(call.receiver)
        # Half of the grace period has passed since the drain. drain_grace is in ms, loop times in s.
        drained = (
            self.core.loop.time() - call.receiver.drain_notified_at > self.core.settings.drain_grace / 2000
        )
        waiting = not self.retry_after.has_passed(endpoint)
        replaced = self.receivers.is_replaced(call)
        if waiting or drained or replaced:
            reason = "replaced" if replaced else "retry_after" if waiting else "draining"
            log_held_back(call, reason)
            return False
        for entry in list(call.entries):
            served = entry.destination == endpoint.destination  # an update may have reassigned the endpoint
            repeat = may_repeat(entry, now, zone)
            if not served or not RULES.may_write(waiting, drained, bool(entry.end), repeat):
                self.remove_from_call(call, entry)
        return bool(call.entries)

    def zone_of(self, receiver: Receiver) -> str:
        """Returns the name of a receiver's zone."""
        return self.core.zones.name(receiver.entry.zone)

    def place_of(self, receiver: Receiver) -> AttemptPlace:
        """Returns what the store records of the receiver of an attempt."""
        return attempt_place(receiver.name, self.zone_of(receiver))

    def remove_from_call(self, call: Call, entry: Entry) -> None:
        """Ends the attempt of a message, of which no byte was written, and takes it out of its call."""
        index = next(at for at, other in enumerate(call.entries) if other is entry)
        attempt = call.attempts[index]
        del call.entries[index], call.attempts[index]
        call.completed.add(entry.number)
        if entry.begun:
            self.store.record_outcomes([(entry, i.Outcome.MOOT)])
        self.end_attempt(call, entry, attempt, i.Outcome.MOOT, False, CallResult([]))

    # --- outcomes ---

    def on_result(self, call: Call, result: CallResult) -> None:
        """Handles the end of a call: records the outcomes and completes the messages that it closed.

        Of a message that got its outcome before its call ended (`call.completed`) only the key is released.
        """
        if result.retry_after:
            endpoint = call.receiver.entry
            self.store.record_retry_after(
                self.retry_after.route_name(endpoint), self.retry_after.extend(endpoint, result.retry_after)
            )
        log_call(call, result, self.elapsed_ms(call))
        completed, open_entries = [], []
        for entry, attempt, (outcome, closed_by_receiver) in zip(
            call.entries, call.attempts, result.outcomes, strict=True
        ):
            if entry.number in call.completed:
                if self.by_message.get(entry.number) is call:  # otherwise a later attempt may be in flight
                    self.release(entry)
                continue
            closed = closed_by_receiver or outcome is i.Outcome.OK
            self.key_pauses.on_attempt_ended(entry, outcome, result.answered)
            completed.append(entry) if closed else open_entries.append((entry, outcome))
            if closed:
                self.completions.on_closed_by_call(entry, outcome)
            self.end_attempt(call, entry, attempt, outcome, closed, result)
        if completed:
            self.completions.complete(completed)
        self.record_outcomes(open_entries)

    def on_partial_outcome(self, call: Call, entry: Entry, outcome: i.Outcome) -> None:
        """Handles the outcome of one message while its call goes on for the others.

        The attempt of a message that expired before (`expire`) ends only now.
        """
        if not call.open:
            return
        if entry.number in call.completed:
            if self.by_message.get(entry.number) is call:
                self.release(entry)
            return
        call.completed.add(entry.number)
        self.key_pauses.on_attempt_ended(entry, outcome, answered=True)
        attempt, closed = call.attempts[call.entries.index(entry)], outcome is i.Outcome.OK
        if closed:
            self.completions.on_closed_by_call(entry, outcome)
        self.end_attempt(call, entry, attempt, outcome, closed, CallResult([]))
        if closed:
            self.completions.complete([entry])
        else:
            self.record_outcomes([(entry, outcome)])

    def expire(self, call: Call, entry: Entry) -> None:
        """Ends the attempt of a message at its deadline; its call goes on for the others."""
        if call.open and entry.number not in call.completed:
            if not call.attempt.begun:
                return self.remove_from_call(call, entry)
            call.completed.add(entry.number)
            self.record_open_call(entry)
            self.store.record_outcomes([(entry, i.Outcome.TIMEOUT)])
            attempt = call.attempts[call.entries.index(entry)]
            # It stays in flight until the call ends (`release`): only then does the pause of its key begin.
            self.report_outcome(call, entry, attempt, i.Outcome.TIMEOUT, False, CallResult([]))
            self.places.report_lost_zone(entry)

    def record_outcomes(self, outcomes: list[tuple[Entry, i.Outcome]]) -> None:
        """Records outcomes that were reported to the policy, after which the messages are not completed."""
        self.store.record_outcomes(outcomes)
        for entry, _ in outcomes:  # the endpoint of the attempt may have changed its zone during the call
            self.places.report_lost_zone(entry)

    def record_open_call(self, entry: Entry) -> None:
        """Records that the call of a message may outlast it, and with it the pause of its key."""
        self.key_pauses.record_open_call(entry, self.by_message[entry.number].deadline)

    def end_attempt(
        self, call: Call, entry: Entry, attempt: int, outcome: i.Outcome, closed: bool, result: CallResult
    ) -> None:
        """Ends an attempt whose call, or whose part of it, has ended; the arguments are report_outcome's."""
        self.by_message.pop(entry.number, None)
        self.report_outcome(call, entry, attempt, outcome, closed, result)
        if entry.end:  # its final status was decided and maybe acknowledged while the call was open
            self.completions.release_key(entry)

    def report_outcome(
        self, call: Call, entry: Entry, attempt: int, outcome: i.Outcome, closed: bool, result: CallResult
    ) -> None:
        """Counts and logs the outcome of an attempt, and reports it to the policy.

        `closed`: the message is complete and needs no further attempt.
        """
        log_attempt(call, entry, attempt, outcome)
        elapsed, endpoint = self.elapsed_ms(call), call.receiver.entry.endpoint
        fresh, wait, report = call.uses == 1, result.retry_after, result.load_report
        self.core.push(
            i.Result(entry.number, attempt, endpoint, outcome, elapsed, closed, wait, report, fresh)
        )

    def elapsed_ms(self, call: Call) -> float:
        """Returns the time since a call was started, in ms."""
        return (self.core.loop.time() - call.started) * 1000

    def release(self, entry: Entry) -> None:
        """Removes a message that expired before its call ended; its key's next message may follow a pause."""
        self.by_message.pop(entry.number, None)
        self.key_pauses.begin(entry)
        self.completions.release_key(entry)
