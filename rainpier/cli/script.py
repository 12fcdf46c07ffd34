"""The `rainpier` command. A module of its own, since it has to prepare the import of the others."""

import sys


def main() -> None:
    """Runs the command line without OpenSSL, which asyncio would load: it takes 5 MB and is never used."""
    sys.modules["ssl"] = None  # type: ignore[assignment]
    from .main import main as command_line

    command_line(prog_name="rainpier")
