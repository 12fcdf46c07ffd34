"""Time that `rainpier check` takes for many files, compared with the standard library's tomllib reading them.

    python benchmarks/check_files.py [FILES]

Each file configures another application, with classes, a listener and a state folder of its own; all files
declare the same 20 destinations, so the comparisons between files are timed too.
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


def make_config_text(number: int) -> str:
    """Returns the configuration file of the application with this number."""
    classes = [NewClass("notice"), NewClass("render", "keyed", order_by="video")]
    classes.append(NewClass("charge", "unsafe"))
    shared = [NewDestination(f"d{n}", n, [f"10.0.{n}.{k}:8080" for k in range(1, 5)]) for n in range(20)]
    return init(New(f"app{number}", f"127.0.0.1:{10000 + number}", classes, shared))


def run_time(work: object) -> float:
    """Calls `work()` and returns how long it took, in s."""
    started = time.perf_counter()
    work()  # type: ignore[operator]
    return time.perf_counter() - started


def main() -> None:
    """Writes the files, times the checks and tomllib, and prints the times."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    with tempfile.TemporaryDirectory() as folder:
        for n in range(count):
            (Path(folder) / f"app{n:05}.toml").write_text(make_config_text(n))
        paths = find([Path(folder)])
        results: list = []
        check_time = run_time(
            lambda: results.extend(check_files((str(path), read_text(path)) for path in paths))
        )
        tomllib_time = run_time(lambda: [tomllib.loads(read_text(path)) for path in paths])
        # Against check_time, this shows whether the time grows faster than the number of files.
        half_time = run_time(
            lambda: check_files((str(path), read_text(path)) for path in paths[: count // 2])
        )
    assert len(results) == count and not any(errors(loaded.problems) for loaded in results)
    lines = sum(len(loaded.lines) for loaded in results)
    print(
        f"{count} files of {lines // count} lines; tomllib alone {tomllib_time:.2f} s; "
        f"checking half of the files {half_time:.2f} s"
    )
    print(
        f"checked {count} files in {check_time:.2f} s, "
        f"{check_time / tomllib_time:.1f} times tomllib's plain reading"
    )


if __name__ == "__main__":
    main()
