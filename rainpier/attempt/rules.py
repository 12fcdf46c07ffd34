"""What a message may do, by its class and by what became of its attempts. No input or output.

The policy decides by its own reckoning; the node asks these rules once more before each step that can't be
taken back, so that no fault of a decision sends a message twice. They are sentences of one line each, kept
in a class so that the explorer can break them one at a time (mutants.py).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..interface import Effect, Outcome

if TYPE_CHECKING:
    from ..store.entry import Entry


class Rules:
    def may_repeat(self, effect: Effect, risky: bool, within: bool) -> bool:
        """After an attempt that may have run: `within` its repeat window, and where its key is remembered."""
        return not risky or effect is Effect.SAFE or effect is Effect.KEYED and within

    def may_begin(self, out: bool, ended: bool, repeat: bool) -> bool:
        """An attempt: none of it is open, and no end was decided."""
        return not out and not ended and repeat

    def may_write(self, waiting: bool, drained: bool, ended: bool, repeat: bool) -> bool:
        """The first byte: what was told, decided or ran out while the connection came up binds too."""
        return not waiting and not drained and not ended and repeat

    def harmless(self, effect: Effect, risky: bool, within: bool, anywhere: bool) -> bool:
        """To hand it in again: it can't take effect twice. `anywhere`: its key is remembered by all."""
        return not risky or effect is Effect.SAFE or effect is Effect.KEYED and within and anywhere

    def moves_on(self, over: bool, open_: bool) -> bool:
        """Its key's next message may go: nothing is owed for it, and none of its calls is open."""
        return over and not open_

    def risky(self, before: bool, outcome: Outcome) -> bool:
        """It may have run, with this outcome of an attempt."""
        return before or not outcome.never_ran

    def resumed_risky(self, risky: bool, begun: bool) -> bool:
        """The same in the next process: an attempt on record without an outcome may have run."""
        return risky or begun

    def tells_delivery(self, ended: bool) -> bool:
        """A late answer is no second end."""
        return not ended


RULES = Rules()


def within(entry: Entry, now: float, zone: int) -> bool:
    """Its repeat window is open at Unix time `now`, ms, and an endpoint in that zone remembers its key."""
    return now <= entry.risky_at + entry.window and (entry.group != "zone" or entry.risky_zone == zone)


def may_repeat(entry: Entry, now: float, zone: int) -> bool:
    """A try at an endpoint in that zone is allowed by its class."""
    return RULES.may_repeat(Effect(entry.effect), entry.risky_at > 0, within(entry, now, zone))


def harmless(entry: Entry, now: float) -> bool:
    """It may be refused, so that its client hands it in again."""
    open_window = within(entry, now, entry.risky_zone)
    return RULES.harmless(Effect(entry.effect), entry.risky_at > 0, open_window, entry.group == "all")
