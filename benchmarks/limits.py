"""Peak memory against the limit in the settings, and late replies of other clients, before crowds.

    python benchmarks/limits.py [SECONDS]

Prints a line for each play, and as the last line the highest share of the limit and the late replies.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from standins.limits import PLAY_S, Laboratory, all_plays  # noqa: E402


async def main(seconds: float) -> None:
    """Plays all crowds one after another."""
    highest, late = 0.0, 0
    with tempfile.TemporaryDirectory() as folder:
        laboratory = Laboratory(Path(folder))
        for names in all_plays():
            play = await laboratory.play(*names, seconds)
            highest, late = max(highest, play.peak / play.limit), late + len(play.late())
            print(play, flush=True)
    print(f"highest share of the memory limit {highest:.2f}, late replies {late}")


if __name__ == "__main__":
    asyncio.run(main(float(sys.argv[1]) if len(sys.argv) > 1 else PLAY_S))
