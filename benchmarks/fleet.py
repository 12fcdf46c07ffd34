"""What a fleet sends beyond a limit that it shares, by its size and by how uneven its traffic is.

    python benchmarks/fleet.py [--against FOLDER] [--seeds N]

In simulated time (tests/standins/fleet.py): one destination of 40 calls a second that counts refused calls
too, with demand at 0.9 of it and swinging. `--against` names another checkout, whose module is played on the
same seeds: it prints both. A fleet of one holds the slots that it needs.
The last line is the refused calls for each one that passed at 40 senders with even traffic.
"""

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
SIZES = (1, 3, 10, 40, 100, 200)
LIMIT, SPAN = 40.0, 20_000.0


def played(root: Path, seeds: int) -> dict[str, tuple[float, float]]:
    """Refused calls for each that passed, and the share of the worth, by fleet: in a process of its own."""
    command = [sys.executable, str(Path(__file__).resolve()), "--child", "--seeds", str(seeds)]
    env = os.environ | {"PYTHONPATH": os.pathsep.join((str(root), str(HERE / "tests")))}
    out = subprocess.run(command, env=env, cwd=root, check=True, capture_output=True, text=True).stdout
    return {name: (refused, worth) for name, refused, worth in json.loads(out)}


def child(seeds: int) -> None:
    from standins.fleet import Destination, Fleet

    rows = []
    for size in SIZES:
        for name, tilt in (("even", 0.0), ("one has a third", 0.33)):
            if size == 1 and tilt:
                continue
            refused = passed = worth = 0.0
            for seed in range(1, seeds + 1):
                shared = Destination(1, lambda now: LIMIT, demand=0.9, window=2000.0)
                day = Fleet(size, [shared], seed=seed, tilt=tilt).play(SPAN)
                refused, passed = refused + day.ends["FULL"], passed + day.ends["OK"]
                worth += day.share / seeds
            rows.append((f"{size} {name}", refused / passed, worth))
    print(json.dumps(rows))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another checkout of the project")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        return child(options.seeds)
    roots = [HERE] + ([options.against.resolve()] if options.against else [])
    found = [played(root, options.seeds) for root in roots]
    titles = ("refused/passed, worth", "the other")[: len(found)]
    print(f"{'fleet':<22}" + "".join(f"{title:>22}" for title in titles))
    for name in found[0]:
        print(f"{name:<22}" + "".join(f"{one[name][0]:>13.2f} {one[name][1]:>8.3f}" for one in found))
    print(f"{found[0]['40 even'][0]:.2f}")


if __name__ == "__main__":
    main()
