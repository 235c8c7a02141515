"""YAML documents with the line number of each field."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import yaml

from pondhatch.configuration._problems import ConfigurationError, Problem

#: Path of a field: keys and list indexes from the document's root.
FieldPath = tuple[str | int, ...]


def dotted(path: FieldPath) -> str:
    """Return a path in dotted form, such as "accounts.a.template"."""
    return ".".join(str(part) for part in path)


class YamlDocument(msgspec.Struct, frozen=True):
    """A parsed file and the line of each of its fields."""

    file: str
    #: Mappings, lists and scalars.
    data: Any
    line_by_path: dict[FieldPath, int]

    def line(self, path: FieldPath) -> int:
        """Return the line of a field, or of the nearest enclosing field."""
        while path and path not in self.line_by_path:
            path = path[:-1]
        return self.line_by_path.get(path, 1)

    def problem(self, path: FieldPath, expected: str) -> Problem:
        """Return a problem at a field of this document."""
        return Problem(self.file, self.line(path), dotted(path), expected)


class _Builder:
    """Converts YAML nodes to plain data; records line numbers and duplicate keys."""

    def __init__(self, file: str) -> None:
        self.line_by_path: dict[FieldPath, int] = {}
        self.problems: list[Problem] = []
        self._file = file
        self._scalar_loader = yaml.SafeLoader("")

    def build(self, node: yaml.Node, path: FieldPath) -> Any:
        self.line_by_path.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return self._mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [self.build(item, (*path, index)) for index, item in enumerate(node.value)]
        return self._scalar(node, path)

    def _mapping(self, node: yaml.MappingNode, path: FieldPath) -> dict[str, Any]:
        built: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            inner = (*path, key)
            if key in built:
                self._add_problem(key_node, inner, "expected each key once, found it again")
            self.line_by_path[inner] = key_node.start_mark.line + 1
            built[key] = self.build(value_node, inner)
        return built

    def _scalar(self, node: yaml.Node, path: FieldPath) -> Any:
        try:
            return self._scalar_loader.construct_object(node)
        except (yaml.YAMLError, ValueError):
            self._add_problem(node, path, "expected a plain value of YAML")
            return None

    def _add_problem(self, node: yaml.Node, path: FieldPath, expected: str) -> None:
        line = node.start_mark.line + 1
        self.problems.append(Problem(self._file, line, dotted(path), expected))


def parse_yaml(text: str, file: str) -> YamlDocument:
    """Parse one YAML document. Raises ConfigurationError."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        problem = Problem(file, line, "", f"expected YAML, {error.problem}")
        raise ConfigurationError((problem,)) from error
    except yaml.YAMLError as error:
        raise ConfigurationError((Problem(file, 1, "", f"expected YAML, {error}"),)) from error
    if node is None:
        return YamlDocument(file, {}, {(): 1})
    builder = _Builder(file)
    data = builder.build(node, ())
    if builder.problems:
        raise ConfigurationError(tuple(builder.problems))
    return YamlDocument(file, data, builder.line_by_path)


def load_yaml(path: Path) -> YamlDocument:
    """Read and parse a file. Raises ConfigurationError, also if it cannot be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(str(path), 0, "", f"expected a readable UTF-8 file, {error}")
        raise ConfigurationError((problem,)) from error
    return parse_yaml(text, str(path))
