"""Determines from the policy's state what delays a message at a given time. No input or output."""

from .. import interface as i
from ..backlog import Message
from ..destination import BURST_MS, DestinationState
from ..policy import Sender

IN_FLIGHT = "out"  # its call is in flight, or its connection is being opened
KEY_ORDER = "key"  # an earlier message of its key is pending, or the key is paused after an uncertain attempt
RETRY_WAIT = "pause"  # it waits before its next attempt
RETRY_AFTER = "told wait"  # the destination's retry-after deadline has not passed
OUTAGE = "outage"  # the circuit breaker of its destination is open: probe calls only
SLOW_START = "return"  # the destination is in slow start after an outage
RATE_LIMIT = "limit"  # the send rate of the destination
WINDOW = "window"  # the destination has as many calls in flight as its window allows
SLOTS = "slots"  # all call slots of the sender are in use
OUTRANKED = "turn"  # other messages of its destination are worth more
NO_ENDPOINT = "no endpoint"  # no endpoint of its destination is ready
NOTHING = "nothing"  # no reason: a call could be sent


def destination_delay_reason(state: DestinationState, now: float) -> str:
    """Returns the reason why no call may be sent to a destination at `now` (ms); NOTHING if one may."""
    if not any(e.entry.condition is i.Condition.READY for e in state.endpoints):
        return NO_ENDPOINT
    if state.retry_after_until > now:
        return RETRY_AFTER
    if state.circuit_open:
        return OUTAGE
    if state.in_flight >= int(state.window):
        return WINDOW
    if state.in_slow_start(now) and state.ready_at(now, 1) > now:
        return SLOW_START
    return RATE_LIMIT if state.next_turn_at - BURST_MS > now else NOTHING


def delay_reason(sender: Sender, message: Message, now: float) -> str:
    """Returns one of the reasons above for a message at `now` (ms).

    A destination has several states if its endpoints are routes of their own (Kind.apart). If all of them are
    blocked, the reason of the one that is ready first counts.
    """
    if message.in_flight:
        return IN_FLIGHT
    head = sender.key_queues.head(message.key)
    behind_another = head is not None and head != message.id
    if message.key and (behind_another or sender.key_queues.pause_end(message.key) > now):
        return KEY_ORDER
    states = sender.states.get(message.destination)
    if not states:
        return NO_ENDPOINT
    ready_at = {destination_delay_reason(state, now): state.ready_at(now, 1) for state in states}
    if message.not_before > now and NOTHING in ready_at:
        return RETRY_WAIT
    if NOTHING in ready_at:
        return SLOTS if sender.free_slots <= 0 else OUTRANKED
    return min(ready_at, key=lambda reason: (reason == NO_ENDPOINT, ready_at[reason]))
