"""The interface between listeners and the node: submitted messages and the results. No I/O.

A listener parses its protocol into a `Submission` and encodes the `SubmissionResult` in that protocol, so
that the node does not depend on any protocol and a listener does not depend on the node.
"""

import asyncio
import re
from dataclasses import dataclass

MAX_LIFETIME = 86_400_000  # ms: one day, the longest that a message may be deliverable after its submission
MAX_DESTINATION = 2**31 - 1  # largest destination number
NAME = re.compile(rb"[!-~]{1,128}")  # ids and idempotency keys go into headers and JSON: visible ASCII only
KEY = re.compile(rb"[0-9a-fA-F]{1,16}")  # ordering keys: 64-bit numbers in hexadecimal


@dataclass(slots=True)
class Submission:
    """A message as submitted by its client."""

    id: str
    cls: str
    destination: int
    key: int
    token: str  # idempotency key sent to the endpoint; "": the id is used
    lifetime: float  # ms within which it may still be delivered
    body: bytes
    # flags set by the client, which the policy gets with the message (interface.Arrival)
    repeated: bool = False
    inherited: bool = False
    reply_to: str = ""  # AMQP queue that the final status is sent to; "": none
    correlation: str = ""  # correlation id of that reply
    tenant: str = ""  # tenant whose quota it counts against, if the settings name tenants


@dataclass(frozen=True, slots=True)
class Accepted:
    """The message is stored, and its final status will be reported."""


@dataclass(frozen=True, slots=True)
class Duplicate:
    """The message was submitted before, so it is not accepted again."""

    # True: the final status is still to come, at the latest submission's `reply_to`. False: it was reported.
    completion_pending: bool


@dataclass(frozen=True, slots=True)
class RetryLater:
    """The message was not accepted; it can safely be submitted again."""

    retry_after: int  # ms


@dataclass(frozen=True, slots=True)
class Rejected:
    """The message was not accepted, and would not be if submitted again unchanged."""

    reason: str  # one line


SubmissionResult = Accepted | Duplicate | RetryLater | Rejected
PendingResult = SubmissionResult | asyncio.Future[SubmissionResult]  # a future if a round has to decide
