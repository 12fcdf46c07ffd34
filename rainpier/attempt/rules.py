"""Rules on what may be done with a message, by its class and the outcomes of its attempts. No I/O.

The policy decides on its own. The node checks these rules again before each step that can't be undone, so
that a wrong decision of the policy sends no message twice. Each rule is one expression; they are methods of a
class so that the model checker can replace them one at a time (mutants.py).
"""

from ..interface import Effect, Outcome


class Rules:
    """The rules, as pure functions of facts about a message. `risky`: an attempt of it may have run."""

    def may_repeat(self, effect: Effect, risky: bool, in_window: bool) -> bool:
        """Whether the message may be sent again.

        `in_window`: its repeat window is open, and the endpoint is one of those that remember its key.
        """
        return not risky or effect is Effect.SAFE or effect is Effect.KEYED and in_window

    def may_begin(self, in_flight: bool, ended: bool, repeat: bool) -> bool:
        """Whether an attempt may begin: no other one is open, and no final status is decided."""
        return not in_flight and not ended and repeat

    def may_write(self, waiting: bool, drained: bool, ended: bool, repeat: bool) -> bool:
        """Whether the first byte may be written: checks what may have changed while the connection came up.

        `waiting`: a retry-after deadline lies ahead. `drained`: the grace period of a drain is over.
        """
        return not waiting and not drained and not ended and repeat

    def may_resubmit(self, effect: Effect, risky: bool, in_window: bool, known_everywhere: bool) -> bool:
        """Whether a client may submit the message again, since it can't take effect twice.

        `known_everywhere`: all endpoints remember its key.
        """
        return not risky or effect is Effect.SAFE or effect is Effect.KEYED and in_window and known_everywhere

    def releases_key(self, completed: bool, call_open: bool) -> bool:
        """Whether the key's next message may be sent: this one is completed and has no open call."""
        return completed and not call_open

    def risky(self, before: bool, outcome: Outcome) -> bool:
        """Whether the message may have run, after an attempt with this outcome."""
        return before or not outcome.never_ran

    def resumed_risky(self, risky: bool, begun: bool) -> bool:
        """Whether the message may have run, after a restart: an attempt begun without an outcome may have."""
        return risky or begun

    def reports_delivery(self, ended: bool) -> bool:
        """Whether a message that its call completed is reported: not if a final status was decided before."""
        return not ended


RULES = Rules()
