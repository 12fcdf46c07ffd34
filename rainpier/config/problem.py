"""A mistake in a configuration, and how it is printed. No input or output."""

from collections.abc import Iterable
from dataclasses import dataclass

from .codes import CODES
from .toml import Place


@dataclass(frozen=True, slots=True)
class Problem:
    code: str
    file: str
    place: Place
    text: str
    hint: str = ""
    line: str = ""  # the line itself
    other_file: str = ""  # where the other half of a contradiction stands
    other_line: int = 0

    @property
    def severity(self) -> str:
        return "warning" if self.code.startswith("W") else "error"

    @property
    def sort_key(self) -> tuple:
        return (self.file, self.place.line, self.place.column, self.code)

    def as_json(self) -> dict[str, object]:
        """One object for tools: the same facts as the text form."""
        return {
            "code": self.code, "severity": self.severity, "title": CODES[self.code][0], "file": self.file,
            "line": self.place.line, "column": self.place.column, "length": self.place.length,
            "message": self.text, "hint": self.hint,
            "related": [{"file": self.other_file, "line": self.other_line}] if self.other_line else [],
        }  # fmt: skip

    def __str__(self) -> str:
        head = f"{self.file}:{self.place.line}:{self.place.column}: {self.severity}[{self.code}]: {self.text}"
        rows, gutter = [head], len(str(self.place.line))
        if self.line:
            shown = self.line.replace("\t", " ")
            rows.append(f"{self.place.line} | {shown}")
            rows.append(f"{' ' * gutter} | {' ' * (self.place.column - 1)}{'^' * self.place.length}")
        if self.other_line:
            rows.append(f"{' ' * gutter} = see {self.other_file}:{self.other_line}")
        if self.hint:
            rows.append(f"{' ' * gutter} = {self.hint}")
        return "\n".join(rows)


def errors(problems: Iterable[Problem]) -> list[Problem]:
    return [problem for problem in problems if problem.severity == "error"]
