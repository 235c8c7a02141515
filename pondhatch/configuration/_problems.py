"""What is wrong in a file, one line each: file, line, field, what was expected."""

from __future__ import annotations

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """One thing wrong in one place."""

    file: str
    #: Counted from 1; 0 where the place is not in a file.
    line: int
    #: Path of the field, such as "accounts.atelier.parameters.rate".
    field: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field or 'document'}: {self.expected}"


class ConfigurationError(Exception):
    """Carries every problem found; nothing was applied."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems
