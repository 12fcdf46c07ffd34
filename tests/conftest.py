"""Known failures: the tests that KNOWN-RED.txt lists are not run, and are printed at the end."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """By test: its line."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    return {line.split(" | ")[0]: line for line in lines if line and not line.startswith("#")}


def pytest_collection_modifyitems(config, items):
    known = known_red()
    passed_over = [item for item in items if item.nodeid in known]
    items[:] = [item for item in items if item.nodeid not in known]
    config.stash[PASSED_OVER] = [known[item.nodeid] for item in passed_over]
    config.hook.pytest_deselected(items=passed_over)
    collected = {item.nodeid for item in [*items, *passed_over]}
    whole = config.args == config.getini("testpaths") or [str(config.rootpath)] == config.args
    unknown = [name for name in known if name not in collected]
    if whole and unknown:
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that do not exist: {unknown}")


PASSED_OVER = pytest.StashKey[list[str]]()


def pytest_terminal_summary(terminalreporter, config):
    lines = config.stash.get(PASSED_OVER, [])
    if lines:
        terminalreporter.section("known failures, not run (KNOWN-RED.txt)")
        for line in lines:
            terminalreporter.write_line(line)
