"""Runs a case: its folders, its time limit, its exit code, and the end of all its processes."""

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record
from .sender import Sender

TIME_LIMIT_S = 115.0


class Case:
    """What a case uses: the record, a temporary folder, its senders, and what broke the rule."""

    def __init__(self, record: Record, folder: Path, trouble: bool) -> None:
        self.record, self.folder, self.trouble = record, folder, trouble
        self.senders: list[Sender] = []
        self.broken: list[str] = []

    def sender(self, settings: dict, discovery: str, name: str = "n0") -> Sender:
        """Creates a sender that ends with the case."""
        sender = Sender(self.record, self.folder, name, settings, discovery)
        self.senders.append(sender)
        return sender

    def breaks(self, text: str) -> None:
        """Notes that the rule was broken."""
        self.broken.append(text)
        self.record.write("verdict", f"BROKEN: {text}")


def run_case(script: str, scenario: Callable[[Case], Awaitable[None]]) -> None:
    """Runs the scenario; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(Path(script).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", "with the disruption" if trouble else "TROUBLE=0: without the disruption")
    with tempfile.TemporaryDirectory() as folder:
        case = Case(record, Path(folder), trouble)
        try:
            asyncio.run(bounded(case, scenario))
        except BaseException:
            record.write("case", f"could not run:\n{traceback.format_exc()}")
            print(f"could not run, see {record.file.name}")
            sys.exit(2)
    print("\n".join(case.broken) if case.broken else "the rule held")
    record.write("verdict", f"exit {1 if case.broken else 0}")
    sys.exit(1 if case.broken else 0)


async def bounded(case: Case, scenario: Callable[[Case], Awaitable[None]]) -> None:
    """Runs the scenario within the time limit, then ends its senders and records their logs."""
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await scenario(case)
    finally:
        for sender in case.senders:
            if sender.process is not None:
                await sender.kill()
            case.record.file.write(f"=== log of {sender.name}\n{sender.log}\n")
