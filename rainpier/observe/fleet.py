"""Sums the records of many senders by destination and span of time. No input or output.

Calls that are harmless in one sender's record may together exceed what a destination takes from all senders.
The sums show calls, refusals, connections, endpoint updates, first attempts, retries and waiting messages.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .. import interface as i
from ..policy import Sender
from . import blame

COLUMNS = (
    "handed in", "first", "again", "ok", "refused", "told", "failed", "no connection", "opened", "down",
    "held",
)  # fmt: skip
OUTCOME_COLUMNS = {
    i.Outcome.OK: "ok", i.Outcome.FULL: "refused", i.Outcome.CONNECT_FAILED: "no connection",
    i.Outcome.ERROR: "failed", i.Outcome.TIMEOUT: "failed", i.Outcome.RESET: "failed",
    i.Outcome.CANCELLED: "failed",
}  # fmt: skip


@dataclass(slots=True)
class SenderReplay:
    """State while one sender's record is read. The sends of a round to one endpoint count as one call."""

    destination_of: dict[int, int] = field(default_factory=dict)  # destination, by endpoint
    # By message and attempt number: whether its call has a result. Attempts of one call share the list.
    calls: dict[tuple[int, int], list[bool]] = field(default_factory=dict)
    sampled_span: int = -1  # number of the span in which the waiting messages were last counted


class FleetSummary:
    """Counts of all senders, by destination and span.

    `span_ms`: length of a span in ms. Spans are numbered from the Unix epoch, so that those of all senders
    coincide.
    """

    def __init__(self, span_ms: float = 100.0) -> None:
        self.span_ms = span_ms
        self.spans: dict[int, dict[int, Counter[str]]] = {}  # by destination and span number
        # By destination: how often a waiting message was seen with each delay reason.
        self.delay_reasons: dict[int, Counter[str]] = {}
        self.endpoint_updates: Counter[int] = Counter()  # by span number
        self.senders = 0

    def counts(self, destination: int, span: int) -> Counter[str]:
        """Returns the counts of a destination in a span, by column."""
        return self.spans.setdefault(destination, {}).setdefault(span, Counter())

    def add_record(self, record: Iterable[tuple[float, list[i.Event], Sender, list[i.Action]]]) -> None:
        """Adds the record of one process, as `recorder.replay` yields it."""
        self.senders += 1
        replay = SenderReplay()
        for now, events, sender, actions in record:
            span = int(now // self.span_ms)
            for event in events:
                self.count_event(replay, span, event)
            self.count_calls(replay, span, sender, actions)
            if span != replay.sampled_span:
                replay.sampled_span = span
                self.sample_waiting(span, now, sender)

    def count_event(self, replay: SenderReplay, span: int, event: i.Event) -> None:
        """Counts an endpoint update, a submitted message, or the first result of a call."""
        match event:
            case i.ListChange(entries=entries):
                self.endpoint_updates[span] += 1
                replay.destination_of.update((entry.endpoint, entry.destination) for entry in entries)
            case i.Arrival(destination=destination):
                self.counts(destination, span)["handed in"] += 1
            case i.Result(message=message, attempt=attempt):
                call = replay.calls.pop((message, attempt), None)
                if call is None or call[0] or event.endpoint not in replay.destination_of:
                    return  # counted with another message of the same call
                call[0] = True
                counts = self.counts(replay.destination_of[event.endpoint], span)
                counts[OUTCOME_COLUMNS.get(event.outcome, "not sent")] += 1
                counts["told"] += event.wait > 0
                counts["opened"] += event.fresh

    def count_calls(
        self, replay: SenderReplay, span: int, sender: Sender, actions: Iterable[i.Action]
    ) -> None:
        """Counts the calls that a round began, each once however many messages it carries."""
        begun: dict[int, list[bool]] = {}
        for action in actions:
            message = sender.messages.get(action.message) if isinstance(action, i.Send) else None
            if message is None or not isinstance(action, i.Send):
                continue
            if action.endpoint not in begun:
                begun[action.endpoint] = [False]
                self.counts(message.destination, span)["first" if message.attempts == 1 else "again"] += 1
            replay.calls[message.id, message.attempts - 1] = begun[action.endpoint]

    def sample_waiting(self, span: int, now: float, sender: Sender) -> None:
        """Counts the sender's messages, its open circuit breakers, and the reasons of the delays."""
        for destination, backlog in sender.backlogs.items():
            counts = self.counts(destination, span)
            counts["held"] += len(backlog)
            counts["down"] += any(state.circuit_open for state in sender.states.get(destination, ()))
            reasons = self.delay_reasons.setdefault(destination, Counter())
            reasons.update(blame.delay_reason(sender, message, now) for message in backlog.messages.values())

    def rows(self, destination: int, spans: int = 1) -> Iterator[tuple[int, Counter[str]]]:
        """Yields a row number and its counts, each row over `spans` spans, from the first recorded span.

        held and down are the maxima over these spans, the other columns are sums.
        """
        rows: dict[int, Counter[str]] = {}
        first = min((span for counts in self.spans.values() for span in counts), default=0)
        for span, counts in sorted(self.spans.get(destination, {}).items()):
            row = rows.setdefault((span - first) // spans, Counter())
            row.update({name: count for name, count in counts.items() if name not in ("held", "down")})
            for name in ("held", "down"):
                row[name] = max(row[name], counts[name])
        yield from sorted(rows.items())
