"""Defines a problem found in a configuration file, and how it is printed. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from .codes import CODES
from .toml import Position


@dataclass(frozen=True, slots=True)
class Problem:
    """One violated rule, with its position in the file."""

    code: str
    file: str
    position: Position
    text: str
    hint: str = ""
    line: str = ""  # text of the line at `position`
    other_file: str = ""  # file and line of the setting that is contradicted; "" and 0 if there is none
    other_line: int = 0

    @property
    def severity(self) -> str:
        return "warning" if self.code.startswith("W") else "error"

    @property
    def sort_key(self) -> tuple:
        """Sorts by file, position and code."""
        return (self.file, self.position.line, self.position.column, self.code)

    def as_json(self) -> dict[str, object]:
        """Returns the JSON object that tools read, with the same facts as the text form."""
        return {
            "code": self.code, "severity": self.severity, "title": CODES[self.code][0], "file": self.file,
            "line": self.position.line, "column": self.position.column, "length": self.position.length,
            "message": self.text, "hint": self.hint,
            "related": [{"file": self.other_file, "line": self.other_line}] if self.other_line else [],
        }  # fmt: skip

    def __str__(self) -> str:
        """Formats the problem with the line, a mark below the value, and the hint."""
        head = (
            f"{self.file}:{self.position.line}:{self.position.column}: "
            f"{self.severity}[{self.code}]: {self.text}"
        )
        rows, gutter = [head], len(str(self.position.line))
        if self.line:
            line_text = self.line.replace("\t", " ")
            rows.append(f"{self.position.line} | {line_text}")
            rows.append(f"{' ' * gutter} | {' ' * (self.position.column - 1)}{'^' * self.position.length}")
        if self.other_line:
            rows.append(f"{' ' * gutter} = see {self.other_file}:{self.other_line}")
        if self.hint:
            rows.append(f"{' ' * gutter} = {self.hint}")
        return "\n".join(rows)


def errors(problems: Iterable[Problem]) -> list[Problem]:
    """Returns the problems that are errors, without the warnings."""
    return [problem for problem in problems if problem.severity == "error"]
