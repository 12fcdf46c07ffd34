"""Checks the rules against a run's records. A finding is one sentence, with the history of its message."""

from standins.faults.records import CAPACITY, MAY_HAVE_RUN, Message, Records
from standins.faults.sender import Sender

REPLY_TIME = 0.4  # s for which a client waits for a reply
NOTIFICATION_TIME = 0.3  # s after a message's deadline by which it has to be completed
NOTIFICATION_TIME_AFTER_START = 1.5  # s after a sender is ready again within which notifications are on time
SOCKET_TOLERANCE = 0.05  # s added to each limit, since calls travel over sockets
DRAIN_GRACE = 0.5  # s within which calls to a draining receiver have to stop
MAX_SCHEDULING_DELAY = 0.15  # s between a sender's reading of its clock and its write
RETRY_AFTER_SLACK = 0.1  # s after a response with a retry delay within which calls may still arrive
REPEAT_WINDOW = 2.0  # s within which a keyed message may be repeated
SIGNAL_DELAY = 0.02  # s from a signal to the end of the process
EXIT_DETECTION_TIME = 0.5  # s within which the end of a process without a signal is noticed
# As in the senders' settings (interface.Settings: overload_factor, fall, cold_from, cold); times in s.
OVERLOAD_FACTOR, FALL_TIME, COLD_FROM, COLD_TIME = 2.0, 1.5, 0.2, 8.0
SMALL_BUDGET = 30  # calls; a smaller budget gets a larger allowance for random variation
MAX_UNRESPONSIVE_TIME = 3.0  # s; a ready sender that replies to no client for longer hangs


def recovery_budget(since: float) -> float:
    """Returns how many calls a recovering destination may get in FALL_TIME, from `since` s after its return.

    That is OVERLOAD_FACTOR times its capacity in the middle of that time, and an allowance for random
    variation of 2 or 3 times the square root.
    """
    middle = max(0.0, since + FALL_TIME / 2)
    capacity_share = min(1.0, COLD_FROM + (1 - COLD_FROM) * middle / COLD_TIME)
    allowed = OVERLOAD_FACTOR * CAPACITY * capacity_share * FALL_TIME
    return allowed + (3 if allowed < SMALL_BUDGET else 2) * (allowed**0.5 + 1)


class Verdict:
    """Checks every rule on the records of one run and collects the findings."""

    def __init__(self, records: Records, senders: list[Sender]) -> None:
        self.records = records
        self.senders = {sender.name: sender for sender in senders}
        self.slack = SOCKET_TOLERANCE + records.observer_lag  # s added to each limit
        self.calls: dict[str, list] = {}  # by message id, in the order read
        for call in records.calls:
            self.calls.setdefault(call.message, []).append(call)
        self.notifications: dict[str, list] = {}  # by message id, in the order received
        for notification in records.notifications:
            self.notifications.setdefault(notification.message, []).append(notification)
        self.findings: list[str] = []

    def run(self, ended: float) -> list[str]:
        """Returns the findings. `ended`: loop time of the run's end."""
        self.check_crashes()
        self.check_memory()
        self.check_foreign_messages()
        for message in self.records.messages.values():
            self.check_completion(message, ended)
            self.check_unanswered_close(message)
            self.check_rejected(message)
            self.check_repeats(message)
            self.check_concurrent_attempts(message)
            self.check_final_status(message)
        self.check_key_order()
        self.check_drains()
        self.check_retry_after()
        self.check_recovery_budget()
        self.check_responsiveness()
        if self.records.has_crowd:
            self.check_timely_replies()
        return self.findings

    def add_finding(self, rule: str, text: str, message: Message | None = None) -> None:
        """Adds a finding, with the history of the message that it is about."""
        trace = f" | {self.trace(message)}" if message is not None else ""
        self.findings.append(f"{rule}: {text}{trace}")

    def trace(self, m: Message) -> str:
        """Describes a message's history in the run, with times relative to its submission."""

        def at(time):
            return "-" if time is None else f"{time - m.sent:+.3f}"

        parts = [
            f"{m.id} {m.cls} to {m.destination} at {m.sender} process {m.incarnation} lifetime {m.lifetime:.2f}"
        ]
        parts.append(f"reply {m.reply or m.no_reply_reason} {at(m.replied_at)}")
        parts += [f"call {at(c.started)} {c.outcome} {at(c.written)}" for c in self.calls.get(m.id, [])]
        parts += [f"notification {n.outcome} {at(n.at)}" for n in self.notifications.get(m.id, [])]
        for n, incarnation in enumerate(self.senders[m.sender].incarnations, 1):
            if incarnation.unavailable_from is not None or n > 1:
                parts.append(
                    f"process {n} ready {at(incarnation.ready)} down {at(incarnation.unavailable_from)}"
                )
        return ", ".join(parts)

    # --- one message ---

    def completed_at(self, message: Message) -> float | None:
        """Returns when the message was completed: delivered, or its final status notified. None: not yet."""
        times = [c.written for c in self.calls.get(message.id, []) if c.outcome == "ok" and c.written]
        times += [notification.at for notification in self.notifications.get(message.id, [])]
        return min(times, default=None)

    def completion_due(self, message: Message) -> float | None:
        """Returns the latest time of completion; None if its sender was not ready again after it ended.

        It follows the deadline or, if the sender was not running then, the next time that it was ready.
        """
        completion_due = message.deadline + NOTIFICATION_TIME + self.slack
        incarnations = self.senders[message.sender].incarnations
        for n, incarnation in enumerate(incarnations):
            if incarnation.unavailable_from is None or completion_due < incarnation.unavailable_from:
                continue
            following = next((after for after in incarnations[n + 1 :] if after.ready is not None), None)
            if following is None:
                return None
            completion_due = max(completion_due, following.ready + NOTIFICATION_TIME_AFTER_START + self.slack)
        return completion_due

    def check_completion(self, message: Message, ended: float) -> None:
        """Finds an accepted message that was completed too late or, at the run's end, is overdue."""
        if message.reply != "OK":
            return
        completed_at, completion_due = self.completed_at(message), self.completion_due(message)
        if completion_due is None:
            return
        if completed_at is None and ended > completion_due:
            self.add_finding("lost", "it was accepted, and never completed", message)
        elif completed_at is not None and completed_at > completion_due:
            self.add_finding(
                "lost", f"it was completed {completed_at - completion_due:.3f} s too late", message
            )

    def check_unanswered_close(self, message: Message) -> None:
        """Finds requests that were read, and their connection closed without a reply while the sender ran."""
        if message.no_reply_reason != "eof" or message.replied_at is None:
            return
        incarnation = self.senders[message.sender].incarnations[message.incarnation - 1]
        ended = incarnation.killed if incarnation.killed is not None else incarnation.ended
        delay = EXIT_DETECTION_TIME if ended is not None and ended == incarnation.ended else SIGNAL_DELAY
        if ended is None or message.replied_at < ended - delay - self.records.observer_lag:
            self.add_finding(
                "closed", "its request was read, and its connection closed without a reply", message
            )

    def check_rejected(self, message: Message) -> None:
        """Finds a message that was sent although the reply to its submission was an error."""
        if message.reply in ("BUSY", "ERR") and self.calls.get(message.id):
            self.add_finding("refused", f"its submission got {message.reply}, yet it was sent", message)

    def check_repeats(self, message: Message) -> None:
        """Finds repeats of a message that may have taken effect, where its class forbids them.

        An unsafe one must not be sent again or handed back, a keyed one not be sent outside its window.
        """
        calls = sorted(self.calls.get(message.id, []), key=lambda call: call.read)
        may_have_run = [call for call in calls if call.outcome in MAY_HAVE_RUN]
        if message.cls == "unsafe" and may_have_run and calls[-1] is not may_have_run[0]:
            self.add_finding("duplicate", "it may have run, and was sent again", message)
        if message.cls == "keyed" and may_have_run:
            late = [
                c
                for c in calls
                if c.started - may_have_run[0].started > REPEAT_WINDOW + MAX_SCHEDULING_DELAY + self.slack
            ]
            if late:
                self.add_finding("duplicate", "it was sent again outside its window", message)
        handed_back = [n for n in self.notifications.get(message.id, []) if n.outcome == "handed_back"]
        if handed_back and may_have_run and message.cls == "unsafe":
            self.add_finding("duplicate", "it may have run, and was handed back", message)

    def check_concurrent_attempts(self, message: Message) -> None:
        """Finds a second attempt while one is in flight on an open connection: the settings allow none."""
        calls = sorted(self.calls.get(message.id, []), key=lambda call: call.read)
        for before, after in zip(calls, calls[1:], strict=False):
            until = after.read if before.closed is None else before.closed
            if after.read < until - self.slack:
                self.add_finding("duplicate", "two attempts of it were in flight at once", message)
                return

    def check_final_status(self, message: Message) -> None:
        """Finds calls after the final status was notified, and notifications of different final statuses."""
        notifications = self.notifications.get(message.id, [])
        if notifications and any(
            call.started > notifications[0].at + self.slack for call in self.calls.get(message.id, [])
        ):
            self.add_finding("ended", "it was sent after its final status was notified", message)
        if len({notification.outcome for notification in notifications}) > 1:
            self.add_finding("ended", "two different final statuses were notified", message)

    # --- the whole run ---

    def check_crashes(self) -> None:
        """Finds processes that ended without a signal, and tracebacks in the logs."""
        for sender in self.senders.values():
            for n, incarnation in enumerate(sender.incarnations, 1):
                if incarnation.crashed:
                    last_line = sender.log.decode(errors="replace").strip().splitlines()[-1:]
                    self.add_finding(
                        "crash", f"{sender.name} process {n} exited with {incarnation.status}: {last_line}"
                    )
            if b"Traceback" in sender.log:
                self.add_finding("crash", f"{sender.name} logged a traceback")

    def check_memory(self) -> None:
        """Finds senders that used more memory than their settings allow."""
        for sender in self.senders.values():
            limit = sender.memory_limit
            if sender.peak_memory > limit:
                self.add_finding("memory", f"{sender.name} used {sender.peak_memory} of {limit} bytes")

    def check_timely_replies(self) -> None:
        """Finds messages that got no reply in time from a sender that was ready, beside a crowd."""
        for message in self.records.messages.values():
            if message.no_reply_reason != "timeout" or message.reply is not None:
                continue
            for incarnation in self.senders[message.sender].incarnations:
                down = incarnation.unavailable_from
                ready = incarnation.ready is not None and incarnation.ready < message.sent
                if ready and (down is None or message.sent + REPLY_TIME + self.slack < down):
                    self.add_finding("late", f"no reply within {REPLY_TIME} s", message)

    def check_foreign_messages(self) -> None:
        """Finds calls that are malformed, or whose message differs from all that were submitted."""
        for text in self.records.invalid_requests:
            self.add_finding("foreign", text)
        for call in self.records.calls:
            message = self.records.messages.get(call.message)
            if message is None:
                self.add_finding(
                    "foreign", f"{call.receiver} got {call.message!r}, which no client submitted"
                )
            elif (call.body, call.token, call.destination) != (
                message.body,
                message.token,
                message.destination,
            ):
                self.add_finding(
                    "foreign",
                    "its body, idempotency key or destination differs from what was submitted",
                    message,
                )

    def check_key_order(self) -> None:
        """Finds messages that were sent before an earlier accepted one of their key was completed."""
        queues: dict[tuple[str, int], list[Message]] = {}
        for message in self.records.messages.values():
            if message.key and message.reply == "OK":
                queues.setdefault((message.sender, message.key), []).append(message)
        for queue in queues.values():
            for n, message in enumerate(queue):
                started = [call.started for call in self.calls.get(message.id, [])]
                for before in queue[:n] if started else ():
                    completed_at = self.completed_at(before)
                    if completed_at is None or completed_at > min(started) + self.slack:
                        self.add_finding("order", f"it was sent before {before.id} was completed", message)
                        break

    def check_drains(self) -> None:
        """Finds calls to a receiver more than DRAIN_GRACE after the update that it drains."""
        limit = DRAIN_GRACE + MAX_SCHEDULING_DELAY + self.slack
        notified = {(drain.sender, drain.receiver): drain.at for drain in self.records.drains}
        for call in self.records.calls:
            message = self.records.messages.get(call.message)
            at = notified.get((message.sender, call.receiver)) if message is not None else None
            if at is not None and call.started > at + limit:
                self.add_finding(
                    "drain",
                    f"{call.receiver} was called {call.started - at:.3f} s after the update that it drains",
                    message,
                )

    def check_retry_after(self) -> None:
        """Finds calls of a sender to a destination between a retry-after response and its deadline."""
        rejections = [call for call in self.records.calls if call.outcome == "wait" and call.written]
        for rejection in rejections:
            rejected = self.records.messages.get(rejection.message)
            for call in self.records.calls:
                message = self.records.messages.get(call.message)
                if message is None or rejected is None or message.sender != rejected.sender:
                    continue
                if call.destination != rejection.destination:
                    continue
                in_window = (
                    rejection.written + RETRY_AFTER_SLACK + self.slack
                    < call.started
                    < rejection.written + rejection.retry_after - self.slack
                )
                if in_window and not self.restarted(message.sender, rejection.written, call.started):
                    self.add_finding(
                        "wait",
                        f"{call.started - rejection.written:.3f} s into a retry-after of {rejection.retry_after} s",
                        message,
                    )

    def restarted(self, sender: str, since: float, until: float) -> bool:
        """Returns whether a process of the sender was started between two loop times."""
        return any(since < incarnation.started < until for incarnation in self.senders[sender].incarnations)

    def check_recovery_budget(self) -> None:
        """Finds a FALL_TIME in which a destination got more than its budget after an outage.

        Counts only if more than two thirds of the calls are from senders that had seen the outage.
        """
        outage = self.records.outage
        if outage is None:
            return
        # A batch of messages counts as one call.
        calls = {
            (call.receiver, call.read): (call.read, self.records.messages[call.message].sender)
            for call in self.records.calls
            if call.destination == outage.destination and call.read >= outage.until
            and call.message in self.records.messages
        }  # fmt: skip
        arrived = sorted(calls.values())
        for n, (since, _) in enumerate(arrived):
            # The sender of each call of the FALL_TIME that begins with this call.
            in_window = [sender for at, sender in arrived[n:] if at < since + FALL_TIME]
            informed = sum(
                outage.first_failure.get(sender, since) < since - self.slack for sender in in_window
            )
            max_calls = recovery_budget(since - outage.until)
            self.records.max_budget_use = max(self.records.max_budget_use, len(in_window) / max_calls)
            if len(in_window) > max_calls and informed > 2 / 3 * len(in_window):
                seen = f"{len(in_window)} calls in {FALL_TIME} s, {max_calls:.1f} allowed, {informed} from senders that had seen the outage"
                self.add_finding(
                    "failback",
                    f"destination {outage.destination}, {since - outage.until:.2f} s after its return: {seen}",
                )
                return

    def check_responsiveness(self) -> None:
        """Finds ready senders that reply to no client for MAX_UNRESPONSIVE_TIME."""
        for sender in self.senders.values():
            messages = [m for m in self.records.messages.values() if m.sender == sender.name]
            since = None
            for message in sorted(messages, key=lambda m: m.sent):
                was_ready = any(
                    incarnation.ready is not None
                    and incarnation.ready < message.sent
                    and (incarnation.unavailable_from is None or message.sent < incarnation.unavailable_from)
                    for incarnation in sender.incarnations
                )
                if message.reply is not None or not was_ready:
                    since = None
                    continue
                since = message.sent if since is None else since
                if message.sent - since > MAX_UNRESPONSIVE_TIME:
                    self.add_finding(
                        "hang",
                        f"{sender.name} replied to no client for more than {MAX_UNRESPONSIVE_TIME} s from here on",
                        message,
                    )
                    break
