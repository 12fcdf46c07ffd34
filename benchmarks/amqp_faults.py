"""Messages over both fronts to brokers that lose confirms, close channels and break: the rules, counted.

    python benchmarks/amqp_faults.py [MESSAGES] [SEED]

The two brokers are the stand-ins of the tests; the faults of a message follow from the seed and its attempt.
"""

import asyncio
import logging
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from standins.soak import soak  # noqa: E402


def main(count: int, seed: int) -> None:
    logging.disable(logging.WARNING)
    begun = time.perf_counter()
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(soak(Path(folder), count, seed, keys=600, deadline=10))
    for name, value in found.items():
        print(f"{name}: {value}")
    took = time.perf_counter() - begun
    print(f"{count} messages in {took:.0f} s, {sum(found['faults'].values())} faults, "
          f"{sum(found['wrong'].values())} rules broken")  # fmt: skip


if __name__ == "__main__":
    main(*(int(value) for value in (sys.argv[1:] + ["100000", "1"][len(sys.argv) - 1 :])))
