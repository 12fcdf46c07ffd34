"""The rules, counted from a run's records. A finding is one sentence with the message's way through the run."""

from standins.faults.records import CAPACITY, RAN, Message, Records
from standins.faults.sender import Sender

NOTICE_TIME = 0.3  # s after a message's time by which it has to be over
AFTER_START = 1.5  # s after a sender is ready again in which no notice is overdue
TOLERANCE = 0.05  # s by which each limit is longer on sockets
GRACE = 0.5  # s in which sends to a draining receiver have to stop
HELD_UP = 0.15  # s that a sender may be held up between reading its clock and writing
WAIT_SLACK = 0.1  # s after a told wait was written in which calls are let through
WINDOW = 2.0  # s in which a keyed message may be repeated
SIGNAL_TIME = 0.02  # s in which a signal that was sent ends a process
UNTOLD_END = 0.5  # s after which the end of a process that nobody signalled is noticed at the latest
OVERLOAD_FACTOR, FALL_TIME, COLD_FROM, COLD_TIME = 2.0, 1.5, 0.2, 8.0  # of the settings; times in s
FEW_CALLS = 30  # under so many the budget has more slack for chance
UNANSWERED_SPAN = 3.0  # s on end without any answer from a sender that is ready: it hangs


def budget(since: float) -> float:
    """Calls that a cold destination takes in FALL_TIME from so many s after its return on."""
    middle = max(0.0, since + FALL_TIME / 2)
    share = min(1.0, COLD_FROM + (1 - COLD_FROM) * middle / COLD_TIME)
    allowed = OVERLOAD_FACTOR * CAPACITY * share * FALL_TIME
    return allowed + (3 if allowed < FEW_CALLS else 2) * (allowed**0.5 + 1)


class Verdict:
    def __init__(self, records: Records, senders: list[Sender]) -> None:
        self.records = records
        self.senders = {sender.name: sender for sender in senders}
        self.slack = TOLERANCE + records.lag
        self.calls: dict[str, list] = {}
        for call in records.calls:
            self.calls.setdefault(call.message, []).append(call)
        self.notices: dict[str, list] = {}
        for notice in records.notices:
            self.notices.setdefault(notice.message, []).append(notice)
        self.findings: list[str] = []

    def run(self, ended: float) -> list[str]:
        """`ended`: when the run was over."""
        self.crashes()
        self.foreign()
        for message in self.records.messages.values():
            self.lost(message, ended)
            self.closed(message)
            self.refused(message)
            self.repeats(message)
            self.at_once(message)
            self.after_notice(message)
        self.order()
        self.drains()
        self.waits()
        self.recovery()
        self.hangs()
        return self.findings

    def find(self, rule: str, text: str, message: Message | None = None) -> None:
        way = f" | {self.way(message)}" if message is not None else ""
        self.findings.append(f"{rule}: {text}{way}")

    def way(self, m: Message) -> str:
        """A message's way through the run, times from when it was sent."""

        def at(time):
            return "-" if time is None else f"{time - m.sent:+.3f}"

        parts = [f"{m.id} {m.cls} to {m.destination} at {m.sender} life {m.life} span {m.span:.2f}"]
        parts.append(f"answer {m.answer or m.lost_by} {at(m.answered)}")
        parts += [f"call {at(c.begun)} {c.outcome} {at(c.written)}" for c in self.calls.get(m.id, [])]
        parts += [f"notice {n.outcome} {at(n.at)}" for n in self.notices.get(m.id, [])]
        for n, life in enumerate(self.senders[m.sender].lives, 1):
            if life.down_from is not None or n > 1:
                parts.append(f"life {n} ready {at(life.ready)} down {at(life.down_from)}")
        return ", ".join(parts)

    # --- one message ---

    def over(self, message: Message) -> float | None:
        """When it was over: delivered, or its notice was told."""
        times = [c.written for c in self.calls.get(message.id, []) if c.outcome == "ok" and c.written]
        times += [notice.at for notice in self.notices.get(message.id, [])]
        return min(times, default=None)

    def due(self, message: Message) -> float | None:
        """When it has to be over; None: its sender never came back."""
        due = message.deadline + NOTICE_TIME + self.slack
        lives = self.senders[message.sender].lives
        for n, life in enumerate(lives):
            if life.down_from is None or due < life.down_from:
                continue
            following = next((after for after in lives[n + 1 :] if after.ready is not None), None)
            if following is None:
                return None
            due = max(due, following.ready + AFTER_START + self.slack)
        return due

    def lost(self, message: Message, ended: float) -> None:
        if message.answer != "OK":
            return
        over, due = self.over(message), self.due(message)
        if due is None:
            return
        if over is None and ended > due:
            self.find("lost", "it was taken on, and never ended", message)
        elif over is not None and over > due:
            self.find("lost", f"it ended {over - due:.3f} s too late", message)

    def closed(self, message: Message) -> None:
        """Read, and its connection closed with no answer, while its sender lived."""
        if message.lost_by != "eof" or message.answered is None:
            return
        life = self.senders[message.sender].lives[message.life - 1]
        gone = life.killed if life.killed is not None else life.ended
        noticed = UNTOLD_END if gone is not None and gone == life.ended else SIGNAL_TIME
        if gone is None or message.answered < gone - noticed - self.records.lag:
            self.find("closed", "its request was read, and its connection closed with no answer", message)

    def refused(self, message: Message) -> None:
        if message.answer in ("BUSY", "ERR") and self.calls.get(message.id):
            self.find("refused", f"it was answered {message.answer}, and sent", message)

    def repeats(self, message: Message) -> None:
        calls = sorted(self.calls.get(message.id, []), key=lambda call: call.read)
        ran = [call for call in calls if call.outcome in RAN]
        if message.cls == "unsafe" and ran and calls[-1] is not ran[0]:
            self.find("duplicate", "it may have run, and was sent again", message)
        if message.cls == "keyed" and ran:
            late = [c for c in calls if c.begun - ran[0].begun > WINDOW + HELD_UP + self.slack]
            if late:
                self.find("duplicate", "it was sent again outside its window", message)
        back = [n for n in self.notices.get(message.id, []) if n.outcome == "handed_back"]
        if back and ran and message.cls == "unsafe":
            self.find("duplicate", "it may have run, and was handed back", message)

    def at_once(self, message: Message) -> None:
        """No second attempt goes out while one is out on an open connection: the settings allow none."""
        calls = sorted(self.calls.get(message.id, []), key=lambda call: call.read)
        for before, after in zip(calls, calls[1:], strict=False):
            until = after.read if before.closed is None else before.closed
            if after.read < until - self.slack:
                self.find("duplicate", "two attempts of it were out at once", message)
                return

    def after_notice(self, message: Message) -> None:
        notices = self.notices.get(message.id, [])
        if notices and any(
            call.begun > notices[0].at + self.slack for call in self.calls.get(message.id, [])
        ):
            self.find("ended", "it was sent after its notice", message)
        if len({notice.outcome for notice in notices}) > 1:
            self.find("ended", "it was told two ends", message)

    # --- all of them ---

    def crashes(self) -> None:
        for sender in self.senders.values():
            for n, life in enumerate(sender.lives, 1):
                if life.crashed:
                    last = sender.log.decode(errors="replace").strip().splitlines()[-1:]
                    self.find("crash", f"{sender.name} life {n} exited with {life.status}: {last}")
            if b"Traceback" in sender.log:
                self.find("crash", f"{sender.name} logged a traceback")

    def foreign(self) -> None:
        for text in self.records.unreadable:
            self.find("foreign", text)
        for call in self.records.calls:
            message = self.records.messages.get(call.message)
            if message is None:
                self.find("foreign", f"{call.receiver} got {call.message!r}, which no client handed in")
            elif (call.body, call.token, call.destination) != (
                message.body,
                message.token,
                message.destination,
            ):
                self.find("foreign", "it was sent otherwise than it was handed in", message)

    def order(self) -> None:
        lines: dict[tuple[str, int], list[Message]] = {}
        for message in self.records.messages.values():
            if message.key and message.answer == "OK":
                lines.setdefault((message.sender, message.key), []).append(message)
        for line in lines.values():
            for n, message in enumerate(line):
                begun = [call.begun for call in self.calls.get(message.id, [])]
                for before in line[:n] if begun else ():
                    over = self.over(before)
                    if over is None or over > min(begun) + self.slack:
                        self.find("order", f"it was sent before {before.id} was over", message)
                        break

    def drains(self) -> None:
        limit = GRACE + HELD_UP + self.slack
        told = {(drain.sender, drain.receiver): drain.at for drain in self.records.drains}
        for call in self.records.calls:
            message = self.records.messages.get(call.message)
            at = told.get((message.sender, call.receiver)) if message is not None else None
            if at is not None and call.begun > at + limit:
                self.find(
                    "drain", f"{call.receiver} was told to drain {call.begun - at:.3f} s before", message
                )

    def waits(self) -> None:
        told = [call for call in self.records.calls if call.outcome == "wait" and call.written]
        for wait in told:
            asked = self.records.messages.get(wait.message)
            for call in self.records.calls:
                message = self.records.messages.get(call.message)
                if message is None or asked is None or message.sender != asked.sender:
                    continue
                if call.destination != wait.destination:
                    continue
                within = (
                    wait.written + WAIT_SLACK + self.slack
                    < call.begun
                    < wait.written + wait.wait - self.slack
                )
                if within and not self.restarted(message.sender, wait.written, call.begun):
                    self.find(
                        "wait", f"{call.begun - wait.written:.3f} s into a wait of {wait.wait} s", message
                    )

    def restarted(self, sender: str, since: float, until: float) -> bool:
        return any(since < life.started < until for life in self.senders[sender].lives)

    def recovery(self) -> None:
        """A destination that was out gets no more than its budget in any FALL_TIME, from those who knew of it."""
        outage = self.records.outage
        if outage is None:
            return
        # A call counts once, however many messages travel in it.
        calls = {
            (call.receiver, call.read): (call.read, self.records.messages[call.message].sender)
            for call in self.records.calls
            if call.destination == outage.destination and call.read >= outage.until
            and call.message in self.records.messages
        }  # fmt: skip
        arrived = sorted(calls.values())
        for n, (since, _) in enumerate(arrived):
            within = [sender for at, sender in arrived[n:] if at < since + FALL_TIME]
            knew = sum(outage.failed.get(sender, since) < since - self.slack for sender in within)
            most = budget(since - outage.until)
            self.records.worst_use = max(self.records.worst_use, len(within) / most)
            if len(within) > most and knew > 2 / 3 * len(within):
                told = f"{len(within)} calls in {FALL_TIME} s, {most:.1f} allowed, {knew} by those who knew"
                self.find(
                    "failback",
                    f"destination {outage.destination}, {since - outage.until:.2f} s after: {told}",
                )
                return

    def hangs(self) -> None:
        """A sender that is ready answers somebody within UNANSWERED_SPAN."""
        for sender in self.senders.values():
            asked = [m for m in self.records.messages.values() if m.sender == sender.name]
            since = None
            for message in sorted(asked, key=lambda m: m.sent):
                up = any(
                    life.ready is not None
                    and life.ready < message.sent
                    and (life.down_from is None or message.sent < life.down_from)
                    for life in sender.lives
                )
                if message.answer is not None or not up:
                    since = None
                    continue
                since = message.sent if since is None else since
                if message.sent - since > UNANSWERED_SPAN:
                    self.find("hang", f"{sender.name} answers nobody since", message)
                    break
