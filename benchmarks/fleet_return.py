"""What a large fleet delivers to one destination that is down for 5 s and returns cold.

    python benchmarks/fleet_return.py [--against FOLDER] [--senders N] [--seeds N]

In simulated time (tests/standins/fleet.py): the worth, refused calls for each that passed, and the most that
was sent in three seconds after the return, as a share of what the rule on returns allows (calls; the model
has no work). `--against` names another checkout, whose module is played on the same seeds: it prints both.
The last line is the worth with a right list, refused calls not counted.
"""

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
BACK, SPAN, MULTIPLE = 11, 30, 2.5  # s, s, the rule's
CASES = {  # limit, listed rate (0: right), refused calls count
    "200 calls a second": (200.0, 0.0, False),
    "refused calls count": (200.0, 0.0, True),
    "a list of double, they count": (200.0, 400.0, True),
    "a list of half": (200.0, 100.0, False),
    "a limit of 20, they count": (20.0, 0.0, True),
}


def child(senders: int, seeds: int) -> None:
    from standins.fleet import Destination, Fleet

    rows = []
    for name, (limit, listed, counts) in CASES.items():
        worth = passed = refused = most = 0.0
        large = limit > 100
        for seed in range(1, seeds + 1):
            one = Destination(
                1, lambda now, limit=limit: limit, kind=0 if large else 1, listed=listed, counts=counts,
                down=(6000.0, BACK * 1000.0), size=2.0 if large else 1.0,
            )  # fmt: skip
            day = Fleet(senders, [one], seed=seed).play(SPAN * 1000.0)
            worth += day.share / seeds
            passed, refused = passed + day.ends["OK"], refused + day.ends["FULL"]
            seconds = [day.by_second.get((1, s), {}) for s in range(SPAN)]
            sent = [sum(n for end, n in ends.items() if end != "in") for ends in seconds]
            able = [one.capacity(s * 1000.0 + 500.0) for s in range(SPAN)]
            spans = [slice(s, s + 3) for s in range(BACK, SPAN - 2)]
            most = max(most, *(sum(sent[span]) / (MULTIPLE * sum(able[span])) for span in spans))
        rows.append((name, worth, refused / max(passed, 1.0), most))
    print(json.dumps(rows))


def played(root: Path, senders: int, seeds: int) -> list[tuple[str, float, float, float]]:
    """In a process of its own, with that checkout's module."""
    command = [sys.executable, str(Path(__file__).resolve()), "--child"]
    command += ["--senders", str(senders), "--seeds", str(seeds)]
    env = os.environ | {"PYTHONPATH": os.pathsep.join((str(root), str(HERE / "tests")))}
    out = subprocess.run(command, env=env, cwd=root, check=True, capture_output=True, text=True).stdout
    return json.loads(out)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another checkout of the project")
    parser.add_argument("--senders", type=int, default=192)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        return child(options.senders, options.seeds)
    roots = [HERE] + ([options.against.resolve()] if options.against else [])
    found = [played(root, options.senders, options.seeds) for root in roots]
    print(f"{options.senders} senders: worth, refused/passed, most of what the rule allows")
    for rows in zip(*found, strict=True):
        print(f"{rows[0][0]:<30}" + "".join(f"{w:>9.3f}{r:>6.2f}{m:>6.2f}" for _, w, r, m in rows))
    print(f"{found[0][0][1]:.3f}")


if __name__ == "__main__":
    main()
