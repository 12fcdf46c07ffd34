"""Attributes the worth that messages lost to the causes of their delays. No input or output.

The ledger follows a sender from round to round and samples the delay reason of each message. The time between
two samples counts for the reason at the earlier one. The worth that a message lost, compared with a delivery
within its aim, is divided among the reasons in proportion to their times.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from .. import interface as i
from ..backlog import Message
from ..policy import Sender
from . import blame

SAMPLE_INTERVAL_MS = 20.0  # between samples of the delay reasons of all messages


class End(StrEnum):
    """Final status of a message in the ledger."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    OPEN = "open"  # had no final status when the record ended


@dataclass(slots=True)
class Account:
    """Times and final status of one message."""

    cls: int  # class number
    tenant: int  # index into Settings.tenants, or NO_TENANT
    destination: int
    arrived_at: float  # ms; of a resumed message, when it was resumed
    worth: float  # when it was accepted: less than that of its class if it is beyond its tenant's quota
    delays: Counter[str] = field(default_factory=Counter)  # ms, by reason
    end: End = End.OPEN
    worth_lost: float = 0.0


class Ledger:
    """Accounts of all messages of one sender."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings
        self.accounts: dict[int, Account] = {}  # by message
        self.current_reasons: dict[int, str] = {}  # delay reason of each open message, by the last sample
        self.sampled_at = -math.inf  # ms
        self.counted_until = -math.inf  # ms

    def add_round(
        self, now: float, events: Iterable[i.Event], sender: Sender, actions: Iterable[i.Action]
    ) -> None:
        """Follows one round: `sender` is in its state after the round at `now` (ms)."""
        self.count_elapsed(now)
        for event in events:
            arrival = event.arrival if isinstance(event, i.Resumed) else event
            if isinstance(arrival, i.Arrival):
                self.open_account(now, arrival, sender)
            elif isinstance(event, i.Result) and event.outcome is i.Outcome.OK:
                self.close_account(event.message, now, End.IN_TIME)
        for action in actions:
            if isinstance(action, i.Refuse | i.Fail):
                self.close_account(
                    action.message, now, End.REFUSED if isinstance(action, i.Refuse) else End.FAILED
                )
        if now - self.sampled_at >= SAMPLE_INTERVAL_MS:
            self.sampled_at = now
            self.current_reasons = {
                number: blame.delay_reason(sender, message, now)
                for number, message in sender.messages.items()
            }

    def count_elapsed(self, now: float) -> None:
        """Adds the time since the previous round to the current reason of each open account."""
        elapsed = now - self.counted_until
        self.counted_until = now
        for number, reason in self.current_reasons.items():
            if (account := self.accounts.get(number)) and account.end is End.OPEN:
                account.delays[reason] += elapsed

    def open_account(self, now: float, arrival: i.Arrival, sender: Sender) -> None:
        """Opens an account for a submitted or resumed message, unless it has one already."""
        message = sender.messages.get(arrival.message)
        worth = message.worth if message else self.settings.classes[arrival.cls].worth
        account = Account(arrival.cls, arrival.tenant, arrival.destination, now, worth)
        self.accounts.setdefault(arrival.message, account)
        if message is not None:
            self.current_reasons[arrival.message] = blame.delay_reason(sender, message, now)

    def close_account(self, number: int, now: float, end: End) -> None:
        """Records the final status and the lost worth; IN_TIME becomes LATE after the aim."""
        account = self.accounts.get(number)
        if account is None or account.end is not End.OPEN:
            return
        self.current_reasons.pop(number, None)
        cls = self.settings.classes[account.cls]
        worth = 0.0
        if end is End.IN_TIME:
            event = i.Arrival(number, account.cls, account.destination, account.arrived_at + cls.deadline)
            worth = Message(event, cls, account.worth, 0).worth_at(now, self.settings.late_halves)
            end = End.IN_TIME if now <= account.arrived_at + cls.aim else End.LATE
        account.end, account.worth_lost = end, account.worth - worth

    # --- sums ---

    def losses(self) -> list[tuple[Account, str, float]]:
        """Returns the worth that each account lost, as triples of account, reason and worth."""
        losses = []
        for account in self.accounts.values():
            total = sum(account.delays.values())
            if account.worth_lost > 0:
                parts = account.delays.items() if total else [(blame.NOTHING, 1.0)]
                losses += [
                    (account, reason, account.worth_lost * ms / (total or 1.0)) for reason, ms in parts
                ]
        return losses

    def by(self, key: str) -> dict[object, Counter[str]]:
        """Sums the worth lost by reason, for each value of `cls`, `tenant`, `destination` or `end`."""
        sums: dict[object, Counter[str]] = {}
        for account, reason, lost in self.losses():
            sums.setdefault(getattr(account, key), Counter())[reason] += lost
        return sums

    def count_by_end(self) -> Counter[str]:
        """Counts the messages by final status."""
        return Counter(str(account.end) for account in self.accounts.values())
