"""How long `rainpier check` takes for many files, against the standard library's plain reading of them.

    python benchmarks/check_files.py [FILES]

Each file is another application's: its own classes, listener and state, and 20 destinations that all share.
"""

import sys
import tempfile
import time
import tomllib
from pathlib import Path

from rainpier.config.check import check_files, find
from rainpier.config.problem import errors
from rainpier.config.watch import read_text
from rainpier.config.write import New, NewClass, NewDestination, init


def application(number: int) -> str:
    classes = [NewClass("notice"), NewClass("render", "keyed", order_by="video")]
    classes.append(NewClass("charge", "unsafe"))
    shared = [NewDestination(f"d{n}", n, [f"10.0.{n}.{k}:8080" for k in range(1, 5)]) for n in range(20)]
    return init(New(f"app{number}", f"127.0.0.1:{10000 + number}", classes, shared))


def timed(work: object) -> float:
    begun = time.perf_counter()
    work()  # type: ignore[operator]
    return time.perf_counter() - begun


def main() -> None:
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    with tempfile.TemporaryDirectory() as folder:
        for n in range(count):
            (Path(folder) / f"app{n:05}.toml").write_text(application(n))
        paths = find([Path(folder)])
        found: list = []
        whole = timed(lambda: found.extend(check_files((str(path), read_text(path)) for path in paths)))
        plain = timed(lambda: [tomllib.loads(read_text(path)) for path in paths])
        half = timed(lambda: check_files((str(path), read_text(path)) for path in paths[: count // 2]))
    assert len(found) == count and not any(errors(f.problems) for f in found)
    lines = sum(len(f.lines) for f in found)
    print(f"{count} files of {lines // count} lines; tomllib alone {plain:.2f} s; half of them {half:.2f} s")
    print(f"checked {count} files in {whole:.2f} s, {whole / plain:.1f} times tomllib's plain reading")


if __name__ == "__main__":
    main()
