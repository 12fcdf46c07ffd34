"""Measures how evenly classes are served in generated deployments: the least ratio of served to fair share.

    python benchmarks/deployments.py [--against FOLDER] [--first SEED] [--deployments N] [--jobs N]

Runs in simulated time (tests/standins/deployments.py). A class counts if it has a twentieth of the messages.
Its fair share is what it would get if the limits let all classes be served alike at each destination.
`--against` names another checkout, whose policy runs on the same seeds. Prints each deployment with its least
served class, the five with the least ratios, and how many have a class under half of its fair share. The last
line is the least ratio.
"""

import argparse
import json
import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]  # this checkout
UNFAIR_RATIO = 0.5  # of the served to the fair share


def run_deployment(seed: int) -> tuple[str, str, float, float]:
    """Returns the deployment, its least served class, the ratio of that class, and the share of all worth."""
    from standins.deployments import MIN_CLASS_SHARE, fair_share, make_deployment

    deployment = make_deployment(seed)
    fleet = deployment.run()
    ratios = []
    for n, cls in enumerate(deployment.classes):
        submitted = fleet.result.worth_by_class.get(n, [0.0])[0] / cls.worth
        if submitted >= MIN_CLASS_SHARE * fleet.result.messages:
            name = f"{cls.effect.name.lower()}{' in order' if cls.in_order else ''} worth {cls.worth:.1f}"
            ratios.append((fleet.result.class_worth_share(n) / fair_share(fleet, n), name))
    ratio, name = min(ratios)
    return str(deployment), name, ratio, fleet.result.worth_share


def run_checkout(root: Path, seeds: range, jobs: int) -> list[tuple[str, str, float, float]]:
    """Runs the deployments in separate processes, with the policy of the checkout at `root`.

    Returns the results of run_deployment, by seed; jobs: number of processes.
    """
    command = [sys.executable, str(Path(__file__).resolve()), "--child", "--jobs", str(jobs)]
    command += ["--first", str(seeds[0]), "--deployments", str(len(seeds))]
    env = os.environ | {"PYTHONPATH": os.pathsep.join((str(root), str(HERE / "tests")))}
    out = subprocess.run(command, env=env, cwd=root, check=True, capture_output=True, text=True).stdout
    return json.loads(out)


def main() -> None:
    """Runs this checkout, and the other one if given, and prints the deployments by their least ratio."""
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
            print(json.dumps(list(pool.map(run_deployment, seeds))))
        return
    roots = [HERE] + ([options.against.resolve()] if options.against else [])
    results = [run_checkout(root, seeds, options.jobs) for root in roots]
    rows = sorted(zip(*results, strict=True), key=lambda row: row[0][2])
    for row in rows:
        cells = "".join(f"{ratio:>7.2f}{worth:>7.3f}" for _, _, ratio, worth in row)
        print(f"{cells}  {row[0][0]}; least: {row[0][1]}")
    print("least ratios: " + "; ".join(row[0][0].split(":")[0] for row in rows[:5]))
    for name, run in zip(("this checkout", "other checkout"), results, strict=False):
        under = sum(ratio < UNFAIR_RATIO for _, _, ratio, _ in run)
        mean = sum(worth for *_, worth in run) / len(run)
        print(f"{name}: {under} of {len(run)} with a class under half of its share, mean worth {mean:.3f}")
    print(f"{min(ratio for _, _, ratio, _ in results[0]):.3f}")


if __name__ == "__main__":
    main()
