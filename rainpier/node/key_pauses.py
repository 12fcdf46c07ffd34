"""Pauses of ordering keys after a call that may still be running at its receiver.

A call that ended without an answer may run on at its receiver for a while. The next message of a key in it
waits for Settings.turn_gap, counted from the end of the call: from the close of its connection, not from the
time at which the attempt of one of its messages was reported as timed out.

The pauses are records of the store, so that they also bind the next process on it. They are written only
where a pause is configured, and only for calls without an answer.
"""

from .. import interface as i
from ..store.entry import Entry
from ..store.state import KeyPause
from .core import Core


class KeyPauses:
    """Begins the pauses, and tells the policy of them (KeyPaused)."""

    def __init__(self, core: Core) -> None:
        self.core = core

    def on_attempt_ended(self, entry: Entry, outcome: i.Outcome, answered: bool) -> None:
        """Pauses the message's key if its call, which has ended now, may still be running.

        `answered`: the call ended with a complete answer to it.
        """
        unusable_answer = not answered and outcome is i.Outcome.ERROR
        if unusable_answer or outcome.may_still_run:
            self.begin(entry)

    def begin(self, entry: Entry) -> None:
        """Pauses the message's key from now on, if it has one."""
        duration = self.core.settings.turn_gap
        if entry.key and duration:
            self.core.store.record_key_pause(entry.key, KeyPause(self.core.now, duration))
            self.core.push(i.KeyPaused(entry.key, duration))

    def record_open_call(self, entry: Entry, call_deadline: float) -> None:
        """Records for the next process that a call goes on although its message no longer shows it.

        While this process lives, the message holds its key until the call has ended. `call_deadline`: loop
        time, s, by which it ends.
        """
        duration = self.core.settings.turn_gap
        if entry.key and duration:
            call_end = call_deadline * 1000 + self.core.epoch
            self.core.store.record_key_pause(entry.key, KeyPause(call_end, duration))

    def restore(self) -> None:
        """Tells the policy of the pauses of earlier processes, whose calls have all ended by now."""
        now = self.core.now
        for key, pause in self.core.store.state.key_pauses.items():
            left = min(pause.call_end, now) + pause.duration - now
            if left > 0:
                self.core.push(i.KeyPaused(key, left))
