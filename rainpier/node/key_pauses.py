"""Pauses of ordering keys after a call that may still be running at its receiver.

A call that ended without an answer may run on at its receiver for a while. The next message of a key in it
waits for Settings.turn_gap, counted from the end of the call: from the close of its connection, not from the
time at which the attempt of one of its messages was reported as timed out.
"""

from .. import interface as i
from ..store.entry import Entry
from .core import Core

# Outcomes of attempts that may still be running at the receiver.
UNANSWERED_OUTCOMES = (i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CANCELLED)


class KeyPauses:
    """Begins the pauses, and tells the policy of them (KeyPaused)."""

    def __init__(self, core: Core) -> None:
        self.core = core

    def on_attempt_ended(self, entry: Entry, outcome: i.Outcome, answered: bool) -> None:
        """Pauses the message's key if its call, which has ended now, may still be running.

        `answered`: the call ended with a complete answer to it.
        """
        unanswered = not answered and outcome is i.Outcome.ERROR
        if unanswered or outcome in UNANSWERED_OUTCOMES:
            self.begin(entry)

    def begin(self, entry: Entry) -> None:
        """Pauses the message's key from now on, if it has one."""
        pause = self.core.settings.turn_gap
        if entry.key and pause:
            self.core.push(i.KeyPaused(entry.key, pause))
