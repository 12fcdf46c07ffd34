"""Whether a stored message may be sent or submitted again, by attempt/rules.py and its progress. No I/O."""

from ..attempt.rules import RULES
from ..interface import Effect
from .entry import Entry


def window_open(entry: Entry, now: float) -> bool:
    """Whether the repeat window is open at `now`, Unix ms."""
    return now <= entry.risky_at + entry.window


def remembers_key(entry: Entry, zone: str) -> bool:
    """Whether endpoints in the zone with this name remember the message's key."""
    return entry.group != "zone" or entry.risky_place.zone == zone


def may_repeat(entry: Entry, now: float, zone: str) -> bool:
    """Whether the message's class allows an attempt at an endpoint in the zone with this name."""
    in_window = window_open(entry, now) and remembers_key(entry, zone)
    return RULES.may_repeat(Effect(entry.effect), entry.risky_at > 0, in_window)


def may_resubmit(entry: Entry, now: float) -> bool:
    """Whether the message may be handed back, so that its client submits it again."""
    risky, known_everywhere = entry.risky_at > 0, entry.group == "all"
    return RULES.may_resubmit(Effect(entry.effect), risky, window_open(entry, now), known_everywhere)
