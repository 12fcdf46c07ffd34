"""Admission of submitted messages: checks each one, and holds it until a round accepts or refuses it.

This component rejects what can never be accepted and recognises duplicates. Everything else is the policy's
decision.
"""

import asyncio
import logging
import math
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .. import interface as i
from ..observe.events import record
from ..policy import EVICTION_THRESHOLD
from ..pressure.memory import MESSAGE_MEMORY
from ..store.entry import Entry
from ..submission import (
    Accepted,
    Duplicate,
    PendingResult,
    Rejected,
    RetryLater,
    Submission,
    SubmissionResult,
)
from .completions import Completions
from .core import Core
from .endpoints import EndpointRegistry

MAX_LIFETIME_FACTOR = 2  # largest lifetime of a message, as a multiple of the deadline of its class
BODY_COPIES = 2  # of a body in memory: while its message is sent
ADMISSION_RETRY_AFTER = 1000  # ms; retry-after of submissions that are refused without the policy


@dataclass(slots=True, eq=False)
class PendingSubmission:
    """A submitted message on which the next round decides, and the future of the result."""

    entry: Entry
    result: asyncio.Future[SubmissionResult]


class Admission:
    """Accepts, rejects or defers submissions."""

    def __init__(
        self,
        core: Core,
        completions: Completions,
        endpoints: EndpointRegistry,
        discovery_complete: Callable[[], bool],
    ) -> None:
        """`discovery_complete`: whether endpoints have been received; before it no destination is unknown."""
        self.discovery_complete = discovery_complete
        self.core, self.store, self.completions, self.endpoints = core, core.store, completions, endpoints
        self.pending: dict[int, PendingSubmission] = {}  # by message number, until the next round
        self.pending_by_id: dict[str, PendingSubmission] = {}
        self.pending_bytes = 0  # cost of the pending messages in the store
        self.max_bytes = sys.maxsize  # of the memory for held and pending messages

    def submit(self, submission: Submission) -> PendingResult:
        """Takes a message from a client. Returns the result, or a future where a round has to decide."""
        if error := self.validation_error(submission):
            self.record_refusal(submission.id, submission.cls, submission.destination, "invalid")
            return Rejected(error)
        if pending := self.pending_by_id.get(submission.id):
            self.completions.redirect_reply(pending.entry, submission)
            return pending.result
        if self.store.is_known(submission.id, self.core.now):  # accepted before: must not run twice
            known = self.store.entries.get(self.store.state.numbers.get(submission.id, 0))
            self.completions.redirect_reply(known, submission)
            return Duplicate(completion_pending=known is not None and not known.told)
        destination = self.core.destination_id(submission.destination)
        if destination is None or not self.endpoints.serves(destination):  # discovery has not reported it yet
            self.record_refusal(submission.id, submission.cls, submission.destination, "not_listed_yet")
            return RetryLater(ADMISSION_RETRY_AFTER)
        effect = self.core.settings.classes[self.core.classes[submission.cls]].effect
        if reason := self.shortage(submission.body, effect):
            self.record_refusal(submission.id, submission.cls, submission.destination, reason)
            return RetryLater(ADMISSION_RETRY_AFTER)
        return self.enqueue(submission, destination).result

    def shortage(self, body: bytes, effect: i.Effect = i.Effect.SAFE) -> str:
        """Returns why there is no room for one more message with this body; "" if there is."""
        if effect is not i.Effect.SAFE and not self.store.state.can_guard(self.core.now):
            return "too_many_ids"
        if self.message_count >= self.core.settings.max_open:
            return "too_many_held"
        if not self.store.has_room(body, self.pending_bytes):
            return "no_store_room"
        needed = self.held_bytes + BODY_COPIES * len(body) + MESSAGE_MEMORY
        return "" if needed <= self.max_bytes else "no_memory"

    @property
    def held_bytes(self) -> int:
        """Memory of the held and pending messages."""
        bodies = self.store.live_bytes + self.pending_bytes
        return BODY_COPIES * bodies + self.message_count * MESSAGE_MEMORY

    def validation_error(self, submission: Submission) -> str:
        """Returns the error text for an invalid submission; "" for a valid one."""
        core, dest = self.core, submission.destination
        destination = core.destination_id(dest)
        if submission.cls not in core.classes:
            return f"unknown class {submission.cls}"
        if submission.tenant and core.tenants and submission.tenant not in core.tenants:
            return f"unknown tenant {submission.tenant}"
        served = destination is not None and self.endpoints.serves(destination)
        if not served and self.discovery_complete():
            return f"unknown destination {dest}"
        if len(submission.body) > core.config.largest_body:
            return f"body longer than {core.config.largest_body} bytes"
        if (
            submission.lifetime
            > MAX_LIFETIME_FACTOR * core.settings.classes[core.classes[submission.cls]].deadline
        ):
            return f"field d out of range: {submission.lifetime}"
        return ""

    def enqueue(self, submission: Submission, destination: int) -> PendingSubmission:
        """Adds a submission to the next round, as an entry that is not in the store yet.

        `destination`: the id of the destination that the submission calls by its number.
        """
        core, number = self.core, self.store.next_number
        self.store.next_number += 1
        cls = core.classes[submission.cls]
        settings, tenant = core.settings.classes[cls], core.tenants.get(submission.tenant, i.NO_TENANT)
        key, deadline = submission.key if settings.in_order else 0, core.now + submission.lifetime
        entry = Entry(
            number,
            submission.id,
            submission.cls,
            destination,
            key,
            submission.token,
            deadline,
            submission.body,
        )
        entry.effect = int(settings.effect)
        entry.group = settings.group
        entry.window = settings.repeat_window
        entry.reply_to = submission.reply_to
        entry.correlation = submission.correlation
        entry.tenant = submission.tenant
        self.completions.expect_reply(entry)
        pending = self.pending[number] = self.pending_by_id[submission.id] = PendingSubmission(
            entry, core.loop.create_future()
        )
        self.pending_bytes += self.store.message_cost(len(entry.body) + len(entry.id) + len(entry.token))
        flags = submission.repeated, submission.inherited
        core.push(i.Arrival(number, cls, destination, deadline, key, tenant, *flags))
        return pending

    def start_round(self) -> dict[int, PendingSubmission]:
        """Returns the submissions that the round now starting decides on, by message number."""
        round_submissions, self.pending, self.pending_by_id = self.pending, {}, {}
        self.pending_bytes = 0
        return round_submissions

    def resolve(self, pending: PendingSubmission, decision: i.Refuse | i.Fail | None) -> None:
        """Accepts the message unless the round refused or failed it (`decision`).

        The result is Accepted only once the message is durable in the store. Where the store has no room, the
        message is withdrawn from the policy and the client may submit it again.
        """
        entry, push = pending.entry, self.core.push
        if decision is None and self.store.accept(entry):
            self.completions.track(entry)
            return self.store.when_durable(lambda: self.set_result(pending, Accepted()))
        self.completions.cancel_reply(entry)
        if isinstance(decision, i.Refuse):
            result: SubmissionResult = RetryLater(math.ceil(decision.retry_after))
            reason = "policy_refused"
        elif decision is not None:
            result = Rejected("given up")
            reason = "policy_failed"
        else:
            result = RetryLater(ADMISSION_RETRY_AFTER)
            reason = "not_recorded"
            push(i.Withdrawn(entry.number))
        self.record_refusal(entry.id, entry.cls, self.core.destination_number(entry.destination), reason)
        if entry.key:  # the policy blocks the key until then
            push(i.EndAnswered(entry.number, entry.key))
        self.set_result(pending, result)

    @staticmethod
    def record_refusal(message_id: str, cls: str, destination: int, reason: str) -> None:
        """Counts and logs a submission that was not accepted."""
        fields = {"id": message_id, "class": cls, "destination": destination}
        record("request_refused", reason, level=logging.DEBUG, **fields)

    @staticmethod
    def set_result(pending: PendingSubmission, result: SubmissionResult) -> None:
        """Resolves the client's future, unless the client has cancelled it."""
        if not pending.result.done():
            pending.result.set_result(result)

    @property
    def message_count(self) -> int:
        """Messages in the store or waiting for a round."""
        return len(self.store.entries) + len(self.pending)

    @property
    def full(self) -> bool:
        """Whether one more message would make the policy evict one, or there is no room for it."""
        threshold = max(1, math.floor(EVICTION_THRESHOLD * self.core.settings.max_open))
        return self.message_count >= threshold or bool(self.shortage(b""))

    @property
    def entries(self) -> Iterator[Entry]:
        """Entries of the messages that wait for the next round."""
        return (pending.entry for pending in self.pending.values())
