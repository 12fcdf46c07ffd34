"""Interpretation of a response: the outcome of each message of its call. No I/O."""

import json
import math
from dataclasses import dataclass

from ...interface import Outcome
from .exchange import MalformedResponse, Response

# Statuses and batch states not listed here count as ERROR: the message may have run. FULL and MOOT mean that
# it did not run; the policy counts FULL as a refusal and lowers the send rate, MOOT it does not count.
OUTCOME_BY_STATUS = {200: Outcome.OK, 500: Outcome.ERROR, 429: Outcome.FULL, 503: Outcome.FULL,
         504: Outcome.MOOT, 410: Outcome.MOOT, 400: Outcome.FULL, 413: Outcome.FULL}  # fmt: skip
OUTCOME_BY_STATE = {"delivered": Outcome.OK, "failed": Outcome.ERROR, "refused": Outcome.FULL,
        "over": Outcome.MOOT, "spent": Outcome.MOOT}  # fmt: skip
MAX_RETRY_AFTER_MS = 600_000.0  # a longer retry-after is taken for a mistake and cut to this
MAX_LOAD_VALUE = 1e9  # a load report with a larger value is ignored as invalid


class MismatchedResponse(MalformedResponse):
    """A response to another call: its connection is out of sync, and this call's outcome is unknown."""


@dataclass(slots=True)
class CallResult:
    """How a call ended.

    `outcomes` has a pair for each message, in the order of the call: its outcome, and whether the receiver
    declared the message completed although it did not deliver it.
    """

    outcomes: list[tuple[Outcome, bool]]
    retry_after: float = 0.0  # ms; 0: none
    load_report: tuple[float, ...] = ()  # empty: none
    # Whether a complete answer to this call was received. Without one it may still be running.
    answered: bool = True


def parse_retry_after(headers: dict[str, str]) -> float:
    """Returns the retry-after of a response of any status, in ms; 0 if absent or invalid."""
    try:
        retry_after = float(headers.get("x-retry-in-ms", "0"))
    except ValueError:
        return 0.0
    return min(retry_after, MAX_RETRY_AFTER_MS) if 0 < retry_after < math.inf else 0.0


def parse_load_report(headers: dict[str, str], names: tuple[str, ...]) -> tuple[float, ...]:
    """Returns the values of the x-load-report header in the order of `names`.

    Empty if the header is absent or incomplete, or a value is not a number from 0 to MAX_LOAD_VALUE: the
    policy must not use such values.
    """
    parts = headers.get("x-load-report", "").split(",")
    pairs = dict(part.split("=", 1) for part in parts if "=" in part)
    try:
        report = tuple(float(pairs[name]) for name in names) if pairs else ()
    except (KeyError, ValueError):
        return ()
    return report if all(0 <= value <= MAX_LOAD_VALUE for value in report) else ()


def parse_batch_states(body: bytes) -> dict[str, str]:
    """Returns the states in a batch response by message id; empty if the body is not a JSON list.

    A message with two different states is left out: neither can be trusted.
    """
    try:
        rows = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    if not isinstance(rows, list):
        return {}
    states_by_id: dict[str, set[str]] = {}
    for row in rows:
        if isinstance(row, dict):
            states_by_id.setdefault(str(row.get("id")), set()).add(str(row.get("state")))
    return {message_id: states.pop() for message_id, states in states_by_id.items() if len(states) == 1}


def parse_result(
    ids: list[str], response: Response, report_fields: tuple[str, ...], reused: bool
) -> CallResult:
    """Returns the result of a call from its complete response.

    `ids`: of the call's messages, in order; `reused`: the connection carried another call before. Raises
    MismatchedResponse if the response belongs to another call.
    """
    retry_after = parse_retry_after(response.headers)
    report = parse_load_report(response.headers, report_fields)
    if response.status == 200 and len(ids) > 1:
        states_by_id = parse_batch_states(response.body)
        verify_batch(ids, states_by_id, reused)
        states = [states_by_id.get(message_id, "") for message_id in ids]
        return CallResult(
            [(OUTCOME_BY_STATE.get(state, Outcome.ERROR), state == "over") for state in states],
            retry_after,
            report,
        )
    if reused and len(ids) == 1:
        verify_single(ids[0], response)
    outcome = OUTCOME_BY_STATUS.get(response.status, Outcome.ERROR)
    if response.status == 503 and response.headers.get("x-no-slot") == "1":
        outcome = Outcome.MOOT
    return CallResult([(outcome, response.status == 410)] * len(ids), retry_after, report)


def verify_batch(ids: list[str], states: dict[str, str], reused: bool) -> None:
    """Raises MismatchedResponse if a batch response does not belong to this batch.

    On a connection that carried another call before, one id too many or too few is enough: the response may
    be a duplicate of the response to a batch that shared some of the messages.
    """
    mismatched = states.keys() != set(ids) if reused else states.keys().isdisjoint(ids)
    if mismatched:
        raise MismatchedResponse(
            f"the {len(states)} message ids in it differ from the {len(ids)} of the call"
        )


def verify_single(message_id: str, response: Response) -> None:
    """Raises MismatchedResponse if a response on a reused connection names a message other than this one."""
    named = {response.headers.get("x-call-id", message_id)}
    if response.body.startswith(b"["):
        named |= parse_batch_states(response.body).keys()
    if named != {message_id}:
        raise MismatchedResponse(f"the response to message {message_id} names other messages")
