"""How many of the messages that a restart finds taken on and untried end without a single attempt.

    python benchmarks/untried.py [--held N ...] [--life MS] [--fleet N]

Two lives of a sender over loopback sockets (tests/standins/restart.py) for each condition and number held, of
safe, keyed and unsafe messages in turn. The last line is the largest share with the smallest number over one.
"""

import argparse
import asyncio
import logging
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))


async def main(held: list[int], life: int, fleet: int) -> None:
    from standins.restart import CONDITIONS, count

    figure, least = 0.0, min((n for n in held if n > 1), default=0)
    print(f"{fleet} senders, messages that live {life} ms; untried of those held, by class, and delivered")
    for number in held:
        with tempfile.TemporaryDirectory() as folder:
            places = [Path(folder) / str(n) for n in range(len(CONDITIONS))]
            for place in places:
                place.mkdir()
            plays = [count(*row, number, fleet, life) for row in zip(places, CONDITIONS, strict=True)]
            for name, told in zip(CONDITIONS, await asyncio.gather(*plays), strict=True):
                ended = ", ".join(f"{n} {cls}" for cls, n in sorted(told.untried.items())) or "none"
                arrived = sum(told.delivered.values())
                print(f"{number:4} {name:9} {told.share:5.2f}  {ended}; {arrived} delivered")
                figure = max(figure, told.share) if number == least else figure
    print(f"{figure:.2f}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--held", type=int, nargs="+", default=[1, 30, 200])
    parser.add_argument("--life", type=int, default=12000)
    parser.add_argument("--fleet", type=int, default=2)
    words = parser.parse_args()
    logging.disable()
    asyncio.run(main(words.held, words.life, words.fleet))
