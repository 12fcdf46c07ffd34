"""Measures the share of accepted messages that get no attempt after a restart before their deadline.

    python benchmarks/untried.py [--held N ...] [--life MS] [--fleet N]

Starts a sender twice on loopback sockets (tests/standins/restart.py), for each condition and number of stored
messages, which are safe, keyed and unsafe in turn. The last line is the largest share at the smallest number
of stored messages above one.
"""

import argparse
import asyncio
import logging
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))


async def main(held: list[int], lifetime_ms: int, fleet: int) -> None:
    """Runs all conditions at once for each number of stored messages (held), and prints a line for each.

    lifetime_ms: time until the messages' deadline; fleet: number of senders.
    """
    from standins.restart import CONDITIONS, run_condition

    largest_share, smallest_count = 0.0, min((n for n in held if n > 1), default=0)
    print(f"{fleet} senders, deadlines of {lifetime_ms} ms: share and classes without an attempt, delivered")
    for number in held:
        with tempfile.TemporaryDirectory() as folder:
            folders = [Path(folder) / str(n) for n in range(len(CONDITIONS))]
            for node_folder in folders:
                node_folder.mkdir()
            runs = [
                run_condition(*row, number, fleet, lifetime_ms)
                for row in zip(folders, CONDITIONS, strict=True)
            ]
            for name, result in zip(CONDITIONS, await asyncio.gather(*runs), strict=True):
                ended = ", ".join(f"{n} {cls}" for cls, n in sorted(result.untried.items())) or "none"
                delivered = sum(result.delivered.values())
                print(f"{number:4} {name:9} {result.share:5.2f}  {ended}; {delivered} delivered")
                largest_share = (
                    max(largest_share, result.share) if number == smallest_count else largest_share
                )
    print(f"{largest_share:.2f}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--held", type=int, nargs="+", default=[1, 30, 200])
    parser.add_argument("--life", type=int, default=12000)
    parser.add_argument("--fleet", type=int, default=2)
    options = parser.parse_args()
    logging.disable()
    asyncio.run(main(options.held, options.life, options.fleet))
