"""Problems found in files, each reported on one line."""

from __future__ import annotations

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """One problem at one place in a file."""

    file: str
    #: Counted from 1; 0 if the problem has no line in a file.
    line: int
    #: Path of the field, such as "accounts.atelier.parameters.rate".
    field: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field or 'document'}: {self.expected}"


class ConfigurationError(Exception):
    """Raised with every problem found; nothing was applied."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems
