"""Counts broken delivery rules while two brokers lose confirms, close channels and break connections.

    python benchmarks/amqp_faults.py [MESSAGES] [SEED]

MESSAGES messages (default 100000) are submitted over RESP and AMQP for two scripted brokers, see
tests/standins/soak.py. The fault of an attempt depends on SEED (default 1), the message and the attempt's
number alone, so a seed gives the same faults whatever the timing. The last line has the number of broken
rules, which must be 0.
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
    """Runs the messages and prints the counts."""
    logging.disable(logging.WARNING)
    started = time.perf_counter()
    with tempfile.TemporaryDirectory() as folder:
        findings = asyncio.run(soak(Path(folder), count, seed, keys=600, deadline=10))
    for name, value in findings.items():
        print(f"{name}: {value}")
    elapsed = time.perf_counter() - started
    print(f"{count} messages in {elapsed:.0f} s, {sum(findings['faults'].values())} faults, "
          f"{sum(findings['wrong'].values())} rules broken")  # fmt: skip


if __name__ == "__main__":
    main(*(int(value) for value in (sys.argv[1:] + ["100000", "1"][len(sys.argv) - 1 :])))
