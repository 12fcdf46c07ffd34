"""Measures the cost of recording: the same rounds with a plain and with a recorded sender, in turn.

    python benchmarks/record_cost.py [MESSAGES]

Also measures the size of the record, and the CPU time that the ledger takes to read it.
The last line is the median CPU time of the recorded rounds, as a multiple of that of the plain ones.
"""

import statistics
import sys
import tempfile
import time
from pathlib import Path

from rainpier import interface as i
from rainpier.observe.ledger import Ledger
from rainpier.observe.recorder import Recorder, replay
from rainpier.policy import Sender

DESTINATIONS, RUNS = 20, 5  # numbers of destinations, and of pairs of measurements


def settings() -> i.Settings:
    """Returns the settings of all senders."""
    return i.Settings(classes=(i.MessageClass("notice", aim=2000.0, deadline=20_000.0),), slots=32)


def run_rounds(sender: Sender, messages: int) -> float:
    """Submits and completes messages, ten in every three rounds; returns the CPU time in s."""
    entries = tuple(i.EndpointEntry(n, n) for n in range(DESTINATIONS))
    sender.handle(0.0, [i.ListChange(i.ListKind.FULL, entries)])
    now, begun = 0.0, time.process_time()
    for first in range(0, messages, 10):
        now += 20.0
        ids = range(first, first + 10)
        events = [i.Arrival(n, 0, n % DESTINATIONS, now + 20_000.0) for n in ids]
        sends = [a for a in sender.handle(now, events) if isinstance(a, i.Send)]
        results = [i.Result(a.message, 0, a.endpoint, i.Outcome.OK, 10.0, True) for a in sends]
        sender.handle(now + 5.0, results[:5])
        sender.handle(now + 10.0, results[5:])
    return time.process_time() - begun


def main() -> None:
    """Runs all measurements and prints their results."""
    messages = int(sys.argv[1]) if len(sys.argv) > 1 else 5000
    ratios = []
    with tempfile.TemporaryDirectory() as folder:
        for seed in range(RUNS):
            plain = run_rounds(Sender(settings(), seed), messages)
            recorder = Recorder(Sender(settings(), seed), Path(folder) / str(seed))
            ratios.append(run_rounds(recorder, messages) / plain)
            print(f"plain: {plain / messages * 1e6:.0f} us a message; recorded: {ratios[-1]:.2f} times that")
        (record,) = (Path(folder) / "0").iterdir()
        begun, ledger = time.process_time(), Ledger(settings())
        for row in replay(record):
            ledger.add_round(*row)
        ledger_us = (time.process_time() - begun) / messages * 1e6
        print(f"{record.stat().st_size / messages:.0f} bytes a message; ledger {ledger_us:.0f} us a message")
    print(f"recording takes {statistics.median(ratios):.2f} times the policy's CPU")


if __name__ == "__main__":
    main()
