"""Measures the number of states, the time and the memory of the attempt model's explorations, by model size.

    python benchmarks/attempt_states.py [--most STATES]

Each model is explored in a process of its own, completely or until it exceeds STATES states. The largest one
has a message of each class, two of them with one key, two endpoints, and one restart of the process.
The last line is the number of states of the largest model that was explored completely.
"""

import argparse
import json
import resource
import subprocess
import sys
import time

from rainpier.attempt.explore import explore
from rainpier.attempt.model import Model, ModelSize
from rainpier.interface import Effect

S, K, U = Effect.SAFE, Effect.KEYED, Effect.UNSAFE
# by the name in the table; the fields are effects, keyed, endpoints, max_attempts, restarts, batch and calls
MODEL_SIZES = {
    "1 message, 1 endpoint": ModelSize((U,), (), 1, 2, 1, 1, 1),
    "2 of one key, 1 endpoint": ModelSize((K, U), (0, 1), 1, 2, 1, 1, 1),
    "2 of one key in batches, 2 endpoints": ModelSize((K, U), (0, 1), 2, 2, 0, 2, 2),
    "3 of 3 classes, 1 endpoint, one attempt, no restart": ModelSize((S, K, U), (1, 2), 1, 1, 0, 1, 2),
    "3 of 3 classes, 2 endpoints, one attempt, no restart": ModelSize((S, K, U), (1, 2), 2, 1, 0, 1, 2),
    "3 of 3 classes, 2 endpoints, two attempts, a restart": ModelSize((S, K, U), (1, 2), 2, 2, 1, 1, 2),
}


def measure(name: str, max_states: int) -> dict[str, object]:
    """Explores one model in this process; returns the result, the time in s and the peak memory in MiB."""
    begun = time.perf_counter()
    result = explore(Model(MODEL_SIZES[name]), max_states)
    memory_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return {
        "states": result.states, "depth": result.depth, "complete": result.complete,
        "violated": result.violated, "seconds": round(time.perf_counter() - begun, 1),
        "mib": round(memory_mib),
    }  # fmt: skip


def main() -> None:
    """Measures each model in a process of its own, and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--most", type=int, default=1_000_000, help="states of one model, at most")
    parser.add_argument("--model", help=argparse.SUPPRESS)  # measures only this one, in this process
    options = parser.parse_args()
    if options.model:
        return print(json.dumps(measure(options.model, options.most)))
    largest = 0
    print(f"{'model':<52}{'states':>10}{'depth':>7}{'s':>8}{'MiB':>7}")
    for name in MODEL_SIZES:
        command = [sys.executable, __file__, "--most", str(options.most), "--model", name]
        result = json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)
        remark = result["violated"] or ("" if result["complete"] else "incomplete")
        figures = f"{result['states']:>10}{result['depth']:>7}{result['seconds']:>8}{result['mib']:>7}"
        print(f"{name:<52}{figures} {remark}")
        largest = max(largest, result["states"]) if result["complete"] else largest
    print(largest)


if __name__ == "__main__":
    main()
