"""Log records of calls and of the attempts in them. docs/operate/faults.md explains how to read them."""

import logging
from collections import Counter

from .. import interface as i
from ..carriers.http.receivers import Call, CallResult
from ..observe.events import record
from ..store.entry import Entry

log = logging.getLogger(__name__)
LOGGED_OUTCOMES = (i.Outcome.ERROR, i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CONNECT_FAILED)


def log_held_back(call: Call, reason: str) -> None:
    """Counts and logs a call that ends without a byte written."""
    record("attempt_held_back", reason, level=logging.DEBUG, ids=call.ids(), endpoint=call.receiver.name)


def log_attempt(call: Call, entry: Entry, attempt: int, outcome: i.Outcome) -> None:
    """Counts and logs the outcome of an attempt; `call_open`: its call goes on for other messages.

    `zone`: of the message's last attempt that began.
    """
    fields = {"id": entry.id, "attempt": attempt, "endpoint": call.receiver.name,
              "zone": entry.begun_place.zone, "connection": call.connection, "use": call.uses,
              "call_open": call.open}  # fmt: skip
    record("attempt_ended", outcome.name.lower(), level=logging.DEBUG, **fields)


def log_call(call: Call, result: CallResult, elapsed_ms: float) -> None:
    """Logs the end of a call, as far as it is out of the ordinary; `elapsed_ms`: since it was started."""
    log_failures(call, result, elapsed_ms)
    log_reported_before(call, elapsed_ms)


def log_failures(call: Call, result: CallResult, elapsed_ms: float) -> None:
    """Logs failed attempts, to help diagnose an outage. Refusals are routine and not logged.

    One line covers all messages of a call with the same outcome: an outage may fail hundreds a second. It
    names the first message of the call.
    """
    failed = Counter(outcome for outcome, _ in result.outcomes if outcome in LOGGED_OUTCOMES)
    for outcome, count in failed.items():
        log.info(
            "message %s and %d more to %s: %s after %.0f ms, call %d on connection %d",
            call.entries[0].id, count - 1, call.receiver.name, outcome.name, elapsed_ms,
            call.uses, call.connection,
        )  # fmt: skip


def log_reported_before(call: Call, elapsed_ms: float) -> None:
    """Logs the end of a call some of whose messages had got their outcomes before it."""
    early = [entry.id for entry in call.entries if entry.number in call.completed]
    if early:
        fields = {"ids": ",".join(early), "endpoint": call.receiver.name, "connection": call.connection,
                  "use": call.uses, "elapsed_ms": f"{elapsed_ms:.1f}"}  # fmt: skip
        record("call_ended", "outcomes_reported_before", level=logging.DEBUG, **fields)
