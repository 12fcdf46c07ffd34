"""Measures the policy's CPU time for a delivered message, with many messages and with many idle destinations.

    python benchmarks/policy_scale.py [MOST [CASE]]

MOST is the largest of SIZES to run, CASE the beginning of a case's name. Compares the policy with the naive
one, which checks everything in each round (tests/naive_policy.py, the same decisions). Each round has one
result and one new message. Four cases: all messages for one destination; all of one key; one message for each
of as many destinations; idle destinations beside an active one. The last line is the largest cost of the
policy, as a multiple of its cost at 100 messages or idle destinations of the same case.
"""

import gc
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))
sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

import naive_policy

from rainpier import interface as i
from rainpier import policy

SIZES = (100, 1_000, 10_000, 100_000)  # messages, or idle destinations
NAIVE_BUDGET = 1.5  # s of CPU time for a measurement of the naive policy, which takes minutes otherwise
# Deadlines of an hour, so that no message ends by time.
CLASSES = (
    i.MessageClass("notice", 1.0, 2000.0, 3.6e6, 0.3),
    i.MessageClass("order", 2.0, 4000.0, 3.6e6, 0.3, i.Effect.KEYED, "all", 3.6e6, True),
)


class Load:
    """A sender that holds `held` messages, and its calls in flight; module: the policy to be measured."""

    def __init__(self, module: object, held: int, destinations: int, idle: int, one_key: bool) -> None:
        self.settings = i.Settings(
            classes=CLASSES, slots=16, max_open=2 * held + 1000, tick=1.0, may_cancel=True
        )
        self.sender = module.Sender(self.settings, 1)  # type: ignore[attr-defined]
        self.now, self.last_id, self.one_key, self.destinations = 1e9, 0, one_key, destinations
        self.in_flight: list[tuple[int, int]] = []  # message and endpoint
        total = destinations + idle
        self.run_round(
            [i.ListChange(i.ListKind.FULL, tuple(i.EndpointEntry(n + 1, n) for n in range(total)))]
        )
        for n in range(destinations, total):  # the state after a destination's only message is completed
            self.sender.activate(n) if module is policy else self.sender.backlogs.setdefault(n, {})
        for start in range(0, held, 1000):
            self.run_round([self.arrival() for _ in range(start, min(held, start + 1000))])

    def arrival(self) -> i.Arrival:
        """Returns the submission of a new message; destinations take turns."""
        self.last_id += 1
        key = 7 if self.one_key else self.last_id
        return i.Arrival(
            self.last_id, int(self.one_key), self.last_id % self.destinations, self.now + 3.6e6, key
        )

    def run_round(self, events: list[i.Event]) -> None:
        """Runs a round, and notes the attempts that it begins."""
        for action in self.sender.handle(self.now, events):
            if isinstance(action, i.Send):
                self.in_flight.append((action.message, action.endpoint))

    def deliver(self) -> None:
        """Runs a round with one result and one new message."""
        self.now += 1.0
        message, endpoint = self.in_flight.pop(0)
        self.run_round([i.Result(message, 0, endpoint, i.Outcome.OK, 50.0, True), self.arrival()])

    def cost(self, max_messages: int, budget: float) -> float:
        """Returns us of CPU time for each delivered message; stops after `budget` s and five messages."""
        for _ in range(20):
            self.deliver()
        gc.collect()
        gc.disable()
        begun, delivered = time.process_time(), 0
        while delivered < max_messages and (delivered < 5 or time.process_time() - begun < budget):
            self.deliver()
            delivered += 1
        spent = time.process_time() - begun
        gc.enable()
        return spent / delivered * 1e6


def main() -> None:
    """Measures the chosen cases and sizes, and prints a line for each."""
    max_size = int(sys.argv[1]) if len(sys.argv) > 1 else SIZES[-1]
    cases = {
        "held for one destination": lambda n: (n, 1, 0, False),
        "held, all of one key": lambda n: (n, 1, 0, True),
        "held, one for each destination": lambda n: (n, n, 0, False),
        "idle destinations": lambda n: (50, 1, n, False),
    }
    largest_ratio = 0.0
    chosen_case = sys.argv[2] if len(sys.argv) > 2 else ""
    for name, shape in ((n, s) for n, s in cases.items() if n.startswith(chosen_case)):
        cost_at_100 = 0.0
        for size in (n for n in SIZES if n <= max_size):
            indexed = Load(policy, *shape(size)).cost(3000, 30.0)
            naive = (
                Load(naive_policy, *shape(size)).cost(3000, NAIVE_BUDGET) if size <= 10_000 else float("nan")
            )
            cost_at_100 = cost_at_100 or indexed
            largest_ratio = max(largest_ratio, indexed / cost_at_100)
            figures = (
                f"{indexed:8.1f} us, {indexed / cost_at_100:5.2f} of that at 100; naive {naive:10.1f} us"
            )
            print(f"{name:32} {size:7}: {figures}", flush=True)
    print(f"dearest {largest_ratio:.2f} times the cost at 100")


if __name__ == "__main__":
    main()
