"""Measures what a large fleet delivers to one destination in slow start after an outage of 5 s.

    python benchmarks/fleet_return.py [--against FOLDER] [--senders N] [--seeds N]

Runs in simulated time (tests/standins/fleet.py). Prints the delivered share of the worth, the refused calls
for each admitted one, and the largest number of calls in three seconds after the outage, as a share of what
the overload rule allows (by calls, since the model has no work). `--against` names another checkout, whose
policy runs on the same seeds; both are printed.
The last line is the share of the worth with an exact listed rate and a limit that ignores refused calls.
"""

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]  # this checkout
OUTAGE_END, SPAN = 11, 30  # s from the start; s for which messages are submitted
OVERLOAD_FACTOR = 2.5  # of the overload rule, as in the simulated fleet
CASES = {  # limit and listed rate (0: exact) in calls a second, whether refused calls count
    "200 calls a second": (200.0, 0.0, False),
    "refused calls count": (200.0, 0.0, True),
    "a list of double, they count": (200.0, 400.0, True),
    "a list of half": (200.0, 100.0, False),
    "a limit of 20, they count": (20.0, 0.0, True),
}


def run_child(senders: int, seeds: int) -> None:
    """Simulates all cases, and prints the results as JSON for run_checkout."""
    from standins.fleet import Destination, SimulatedFleet

    rows = []
    for name, (limit, listed_rate, counts_refused) in CASES.items():
        worth = admitted = refused = max_overload = 0.0
        large = limit > 100
        for seed in range(1, seeds + 1):
            destination = Destination(
                1, lambda now, limit=limit: limit, kind=0 if large else 1, listed_rate=listed_rate,
                counts_refused=counts_refused, outage=(6000.0, OUTAGE_END * 1000.0),
                call_size=2.0 if large else 1.0,
            )  # fmt: skip
            result = SimulatedFleet(senders, [destination], seed=seed).run(SPAN * 1000.0)
            worth += result.worth_share / seeds
            admitted, refused = admitted + result.outcomes["OK"], refused + result.outcomes["FULL"]
            seconds = [result.by_second.get((1, s), {}) for s in range(SPAN)]
            sent = [sum(n for name, n in counts.items() if name != "in") for counts in seconds]
            capacity = [destination.capacity(s * 1000.0 + 500.0) for s in range(SPAN)]
            spans = [slice(s, s + 3) for s in range(OUTAGE_END, SPAN - 2)]
            max_overload = max(
                max_overload, *(sum(sent[span]) / (OVERLOAD_FACTOR * sum(capacity[span])) for span in spans)
            )
        rows.append((name, worth, refused / max(admitted, 1.0), max_overload))
    print(json.dumps(rows))


def run_checkout(root: Path, senders: int, seeds: int) -> list[tuple[str, float, float, float]]:
    """Runs the cases in a separate process, with the policy of the checkout at `root`.

    Returns the name, worth share, refused calls for each admitted one and largest overload of each case.
    """
    command = [sys.executable, str(Path(__file__).resolve()), "--child"]
    command += ["--senders", str(senders), "--seeds", str(seeds)]
    env = os.environ | {"PYTHONPATH": os.pathsep.join((str(root), str(HERE / "tests")))}
    out = subprocess.run(command, env=env, cwd=root, check=True, capture_output=True, text=True).stdout
    return json.loads(out)


def main() -> None:
    """Runs this checkout, and the other one if it is given, and prints their results side by side."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another checkout of the project")
    parser.add_argument("--senders", type=int, default=192)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        return run_child(options.senders, options.seeds)
    roots = [HERE] + ([options.against.resolve()] if options.against else [])
    results = [run_checkout(root, options.senders, options.seeds) for root in roots]
    print(f"{options.senders} senders: worth, refused/passed, largest share of what the rule allows")
    for rows in zip(*results, strict=True):
        print(f"{rows[0][0]:<30}" + "".join(f"{w:>9.3f}{r:>6.2f}{m:>6.2f}" for _, w, r, m in rows))
    print(f"{results[0][0][1]:.3f}")


if __name__ == "__main__":
    main()
