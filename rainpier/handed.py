"""What fronts hand in, and what they are answered: the one interface between a front and the node. No I/O.

A front reads its own protocol into a `Handed` and words the `Answer` in it. Neither knows the other's words.
"""

import asyncio
import re
from dataclasses import dataclass

MAX_SPAN = 86_400_000  # ms; no message lives longer than a day
MAX_DESTINATION = 2**31 - 1
NAME = re.compile(rb"[!-~]{1,128}")  # ids and idempotency keys go into headers and JSON: visible ASCII only
KEY = re.compile(rb"[0-9a-fA-F]{1,16}")


@dataclass(slots=True)
class Handed:
    """A message as its client hands it in."""

    id: str
    cls: str
    destination: int
    key: int
    token: str  # its idempotency key towards the endpoint; "": its id
    span: float  # ms it may still be delivered
    body: bytes
    repeated: bool = False
    inherited: bool = False
    reply_to: str = ""  # the queue that its end goes to, and what it is known by there
    correlation: str = ""
    tenant: str = ""  # who it counts for, where the settings name tenants


@dataclass(frozen=True, slots=True)
class Taken:
    """Its end is owed, and it stands in the store."""


@dataclass(frozen=True, slots=True)
class Known:
    """It came before, so it is not taken on twice."""

    owed: bool  # its end is still to come, to the queue that was named now; else it was told before


@dataclass(frozen=True, slots=True)
class Busy:
    """Nothing was taken, and handing it in again is harmless."""

    back: int  # ms after which


@dataclass(frozen=True, slots=True)
class Wrong:
    """Nothing was taken, and the same again would fare no better."""

    reason: str  # one line


Answer = Taken | Known | Busy | Wrong
Answered = Answer | asyncio.Future[Answer]  # a future: once a round has decided
