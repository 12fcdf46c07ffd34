"""Measures the calls of a fleet beyond a shared limit, by fleet size and by the distribution of traffic.

    python benchmarks/fleet.py [--against FOLDER] [--seeds N]

Runs in simulated time (tests/standins/fleet.py): one destination with a limit of 40 calls a second that also
counts refused calls, and a demand that varies around 0.9 of it. Each line has the number of refused calls for
each admitted one, and the delivered share of the submitted worth. `--against` names another checkout, whose
policy runs on the same seeds; both are printed. A fleet of one sender has as many slots as it needs.
The last line is the number of refused calls for each admitted one, at 40 senders with even traffic.
"""

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]  # this checkout
SIZES = (1, 3, 10, 40, 100, 200)  # senders
LIMIT, SPAN = 40.0, 20_000.0  # calls a second of the destination; ms for which messages are submitted


def run_checkout(root: Path, seeds: int) -> dict[str, tuple[float, float]]:
    """Runs the policy of the checkout at `root` in a separate process.

    Returns the refused calls for each admitted one and the delivered share of the worth, by fleet.
    """
    command = [sys.executable, str(Path(__file__).resolve()), "--child", "--seeds", str(seeds)]
    env = os.environ | {"PYTHONPATH": os.pathsep.join((str(root), str(HERE / "tests")))}
    out = subprocess.run(command, env=env, cwd=root, check=True, capture_output=True, text=True).stdout
    return {name: (refused, worth) for name, refused, worth in json.loads(out)}


def run_child(seeds: int) -> None:
    """Simulates all fleets, and prints the results as JSON for run_checkout."""
    from standins.fleet import Destination, SimulatedFleet

    rows = []
    for size in SIZES:
        for name, first_share in (("even", 0.0), ("one has a third", 0.33)):
            if size == 1 and first_share:
                continue
            refused = admitted = worth = 0.0
            for seed in range(1, seeds + 1):
                shared = Destination(1, lambda now: LIMIT, demand=0.9, limit_window=2000.0)
                result = SimulatedFleet(size, [shared], seed=seed, first_share=first_share).run(SPAN)
                refused, admitted = refused + result.outcomes["FULL"], admitted + result.outcomes["OK"]
                worth += result.worth_share / seeds
            rows.append((f"{size} {name}", refused / admitted, worth))
    print(json.dumps(rows))


def main() -> None:
    """Runs this checkout, and the other one if it is given, and prints their results side by side."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another checkout of the project")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        return run_child(options.seeds)
    roots = [HERE] + ([options.against.resolve()] if options.against else [])
    results = [run_checkout(root, options.seeds) for root in roots]
    titles = ("refused/passed, worth", "other checkout")[: len(results)]
    print(f"{'fleet':<22}" + "".join(f"{title:>22}" for title in titles))
    for name in results[0]:
        print(
            f"{name:<22}" + "".join(f"{result[name][0]:>13.2f} {result[name][1]:>8.3f}" for result in results)
        )
    print(f"{results[0]['40 even'][0]:.2f}")


if __name__ == "__main__":
    main()
