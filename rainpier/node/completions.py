"""Completion of stored messages: each gets one final status, which is recorded before it is reported.

Final statuses of undelivered messages go to the completion sink; those of all messages go to the reply queue
that the message names, if any. Only after its deadline is one reported without a record (notify_unrecorded).
"""

import logging
import math
from collections import Counter
from collections.abc import Callable, Container

from .. import interface as i
from ..attempt.rules import RULES
from ..observe.events import record
from ..sinks.sink import CompletionSink
from ..store.entry import Entry
from ..store.records import GIVEN_UP, HANDED_BACK
from ..store.repeats import may_resubmit
from ..structures.schedule import Schedule
from ..submission import Submission
from .core import Core

log = logging.getLogger(__name__)
DELIVERED, OVER = "delivered", "over"  # OVER: closed by the receiver without a delivery
OVERDUE_GRACE_MS = 100.0  # after the deadline; then a message is given up without a decision of the policy


class Completions:
    """Tracks the stored messages until their completion has been reported."""

    def __init__(self, core: Core, sink: CompletionSink, in_flight: Container[int]) -> None:
        """`in_flight`: numbers of the messages that have an open call."""
        self.core, self.store, self.sink, self.in_flight = core, core.store, sink, in_flight
        self.held_by_destination: Counter[int] = Counter()  # stored messages by destination id
        # message numbers by the time (ms) at which they are given up without a decision of the policy
        self.overdue: Schedule[int] = Schedule()
        # numbers of the messages whose final status is decided and not recorded yet, by deadline (ms)
        self.unrecorded: Schedule[int] = Schedule()
        self.pending_replies: Counter[str] = Counter()  # by reply queue: completions still to be sent to it
        # called with each message that names a reply queue, and its final status
        self.reply_listener: Callable[[Entry, str], None] | None = None
        # called with each message that is given up while its call is open
        self.on_overdue_in_flight: Callable[[Entry], None] = lambda entry: None

    # --- stored messages ---

    def track(self, entry: Entry) -> None:
        """Starts to track a message that is in the store."""
        self.held_by_destination[entry.destination] += 1
        self.overdue.set(entry.number, entry.deadline + OVERDUE_GRACE_MS)

    def complete(self, entries: list[Entry]) -> None:
        """Drops messages from the store that a call completed or whose final status was delivered."""
        for entry in entries:
            if entry.number in self.store.entries:
                self.overdue.drop(entry.number)
                self.held_by_destination[entry.destination] -= 1
                if not self.held_by_destination[entry.destination]:
                    del self.held_by_destination[entry.destination]
        self.store.complete(entries)

    def held_for(self, destination: int) -> int:
        """Returns the number of stored messages for the destination with this id."""
        return self.held_by_destination[destination]

    # --- reply queues ---

    def expect_reply(self, entry: Entry) -> None:
        """Counts a completion that will go to the message's reply queue, if it names one."""
        if entry.reply_to:
            self.pending_replies[entry.reply_to] += 1

    def cancel_reply(self, entry: Entry) -> None:
        """Reverses `expect_reply`, once the completion was reported or will not follow."""
        if entry.reply_to:
            self.pending_replies[entry.reply_to] -= 1
            if self.pending_replies[entry.reply_to] <= 0:
                del self.pending_replies[entry.reply_to]

    def redirect_reply(self, entry: Entry | None, submission: Submission) -> None:
        """Sends the completion to the latest submission's reply queue: the one named before may be gone."""
        if submission.reply_to and entry is not None and not entry.told:
            self.cancel_reply(entry)
            entry.reply_to, entry.correlation = submission.reply_to, submission.correlation
            self.expect_reply(entry)

    def notify_reply_queue(self, entry: Entry, outcome: str) -> None:
        """Reports the completion to the message's reply queue, unless that was done before.

        `outcome`: the final status, or DELIVERED or OVER.
        """
        if not entry.reply_to or entry.told:
            return
        entry.told = True
        self.cancel_reply(entry)
        if self.reply_listener is not None:
            self.reply_listener(entry, outcome)

    def on_closed_by_call(self, entry: Entry, outcome: i.Outcome) -> None:
        """Reports a message that its call's outcome completed, unless a final status was decided before."""
        if RULES.reports_delivery(bool(entry.end)):
            self.notify_reply_queue(entry, DELIVERED if outcome is i.Outcome.OK else OVER)

    # --- completion without delivery ---

    def apply_decision(self, action: i.Refuse | i.Fail) -> None:
        """Completes a stored message as the policy decided.

        A refused message is handed back only where submitting it again is harmless; otherwise it is given up.
        """
        entry = self.store.entries.get(action.message)
        if entry is None or entry.end:
            return
        safe = may_resubmit(entry, self.core.now)
        if isinstance(action, i.Refuse) and not safe:
            log.error("message %s is given up, not refused: an attempt of it may have run", entry.id)
        if isinstance(action, i.Refuse) and safe:
            self.finalize(entry, HANDED_BACK, math.ceil(action.retry_after))
        else:
            self.finalize(entry, GIVEN_UP, 0)

    def finalize(self, entry: Entry, final_status: str, retry_after: int) -> None:
        """Records the final status, then reports it. `retry_after`: ms for the client; 0: none."""
        number = self.core.destination_number(entry.destination)
        fields = {"id": entry.id, "class": entry.cls, "destination": number}
        record(
            "message_ended",
            final_status,
            **fields,
            attempts=entry.attempts,
            may_have_run=bool(entry.risky_at),
        )
        self.unrecorded.set(entry.number, entry.deadline)
        self.store.record_final_status(entry, final_status, retry_after, lambda: self.on_recorded(entry))

    def on_recorded(self, entry: Entry) -> None:
        """Reports a recorded final status, unless it was reported already."""
        if entry.number in self.unrecorded:
            self.unrecorded.drop(entry.number)
            self.notify(entry)

    def notify_unrecorded(self) -> None:
        """Reports final statuses that could not be recorded by their message's deadline.

        Before the deadline the record has to come first: without it the next process would send the message
        again. After the deadline no process sends it, so the notification need not wait for the record.
        """
        for number in self.unrecorded.due(self.core.now):
            if (entry := self.store.entries.get(number)) is not None:
                record("end_told_unrecorded", entry.end, level=logging.WARNING, id=entry.id)
                self.notify(entry)

    def notify(self, entry: Entry) -> None:
        """Reports the final status to the reply queue and the completion sink."""
        self.notify_reply_queue(entry, entry.end)
        self.sink.add(entry)

    def resume(self, entry: Entry) -> None:
        """Tracks a message of an earlier process, and reports the final status if that process decided it."""
        self.track(entry)
        self.expect_reply(entry)
        if entry.end:
            self.notify(entry)
        elif entry.cls not in self.core.classes:
            log.error("message %s given up: its class %s is no longer configured", entry.id, entry.cls)
            self.finalize(entry, GIVEN_UP, 0)

    def on_notified(self, entries: list[Entry]) -> None:
        """Drops messages whose final status the completion sink has delivered."""
        self.complete(entries)
        for entry in entries:
            self.release_key(entry)

    def release_key(self, entry: Entry) -> None:
        """Releases the key for its next message, if this one is completed and has no open call."""
        completed = entry.number not in self.store.entries
        if entry.key and RULES.releases_key(completed, entry.number in self.in_flight):
            self.core.push(i.EndAnswered(entry.number, entry.key))

    def expire_overdue(self) -> None:
        """Gives up overdue messages on which the policy did not decide, so that each client is notified."""
        for number in self.overdue.due(self.core.now):
            entry = self.store.entries.get(number)
            if entry is None or entry.end:
                continue
            log.error(
                "message %s given up: not completed %.0f ms after its deadline", entry.id, OVERDUE_GRACE_MS
            )
            self.core.push(i.Withdrawn(entry.number))
            if entry.number in self.in_flight:
                self.on_overdue_in_flight(entry)
            self.finalize(entry, GIVEN_UP, 0)
        self.notify_unrecorded()
