"""How evenly classes are served in deployments that are made up: served worth by a fair share, the least.

    python benchmarks/deployments.py [--against FOLDER] [--first SEED] [--deployments N] [--jobs N]

In simulated time (tests/standins/deployments.py). A class counts with a twentieth of the messages; its fair
share is what it would get if all classes fared alike at each destination, as far as the limits let them.
`--against` names another checkout, whose module is played on the same seeds. It prints each deployment with
its least class, the worst five, and how many have a class under half of its share; last the least ratio.
"""

import argparse
import json
import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
HALF = 0.5


def play(seed: int) -> tuple[str, str, float, float]:
    """The deployment, its least class, that one's ratio, and the whole's worth."""
    from standins.deployments import FEW, fair, make

    deployment = make(seed)
    fleet = deployment.play()
    ratios = []
    for n, cls in enumerate(deployment.classes):
        asked = fleet.played.by_class.get(n, [0.0])[0] / cls.worth
        if asked >= FEW * fleet.played.messages:
            name = f"{cls.effect.name.lower()}{' in order' if cls.in_order else ''} worth {cls.worth:.1f}"
            ratios.append((fleet.played.served(n) / fair(fleet, n), name))
    ratio, name = min(ratios)
    return str(deployment), name, ratio, fleet.played.share


def played(root: Path, seeds: range, jobs: int) -> list[tuple[str, str, float, float]]:
    """In processes of its own, with that checkout's module."""
    command = [sys.executable, str(Path(__file__).resolve()), "--child", "--jobs", str(jobs)]
    command += ["--first", str(seeds[0]), "--deployments", str(len(seeds))]
    env = os.environ | {"PYTHONPATH": os.pathsep.join((str(root), str(HERE / "tests")))}
    out = subprocess.run(command, env=env, cwd=root, check=True, capture_output=True, text=True).stdout
    return json.loads(out)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another checkout of the project")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--deployments", type=int, default=60)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.deployments)
    if options.child:
        with ProcessPoolExecutor(options.jobs) as pool:
            print(json.dumps(list(pool.map(play, seeds))))
        return
    roots = [HERE] + ([options.against.resolve()] if options.against else [])
    found = [played(root, seeds, options.jobs) for root in roots]
    rows = sorted(zip(*found, strict=True), key=lambda row: row[0][2])
    for row in rows:
        cells = "".join(f"{ratio:>7.2f}{worth:>7.3f}" for _, _, ratio, worth in row)
        print(f"{cells}  {row[0][0]}; least: {row[0][1]}")
    print("the worst: " + "; ".join(row[0][0].split(":")[0] for row in rows[:5]))
    for name, run in zip(("this build", "the other"), found, strict=False):
        under = sum(ratio < HALF for _, _, ratio, _ in run)
        mean = sum(worth for *_, worth in run) / len(run)
        print(f"{name}: {under} of {len(run)} with a class under half of its share, mean worth {mean:.3f}")
    print(f"{min(ratio for _, _, ratio, _ in found[0]):.3f}")


if __name__ == "__main__":
    main()
