"""Reads operators' YAML files, validates them and turns them into edits."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from pondhatch.configuration._changes import Edit, EntryKey
from pondhatch.configuration._fleet import FleetConfiguration, Rejected
from pondhatch.configuration._problems import ConfigurationError, Problem
from pondhatch.configuration._schema import FleetFile
from pondhatch.configuration._validation import validate
from pondhatch.configuration._yaml import FieldPath, YamlDocument, load_yaml

#: Top-level section of a file for each kind of entry.
SECTION_BY_KIND = {
    "service": "services",
    "route": "routes",
    "template": "templates",
    "account": "accounts",
}


class FileEntries(msgspec.Struct, frozen=True):
    """Entries read from files, and the document that each was read from."""

    edits: tuple[Edit, ...]
    document_by_entry: dict[EntryKey, YamlDocument]

    def problem(self, entry: EntryKey, path: FieldPath, expected: str) -> Problem:
        """Return a problem at a field of an entry, with its file and line if it has them."""
        kind, name = entry
        whole_path = (SECTION_BY_KIND.get(kind, kind), name, *path)
        document = self.document_by_entry.get(entry)
        if document is None:
            return Problem("(in force)", 0, ".".join(map(str, whole_path)), expected)
        return document.problem(whole_path, expected)


def read_files(paths: Iterable[Path]) -> FileEntries:
    """Read YAML files, or all ``*.yaml`` in folders.

    Raises ConfigurationError with every problem.
    """
    problems: list[Problem] = []
    edits: list[Edit] = []
    document_by_entry: dict[EntryKey, YamlDocument] = {}
    for path in _expand_folders(paths):
        try:
            document = load_yaml(path)
        except ConfigurationError as error:
            problems.extend(error.problems)
            continue
        validated = validate(FleetFile, document.data)
        if not isinstance(validated, FleetFile):
            problems.extend(document.problem(each.path, each.expected) for each in validated)
            continue
        for edit in _document_edits(document):
            first = document_by_entry.setdefault((edit.kind, edit.name), document)
            if first is not document:
                entry_path = (SECTION_BY_KIND[edit.kind], edit.name)
                problems.append(document.problem(entry_path, f"already defined in {first.file}"))
            edits.append(edit)
    if problems:
        raise ConfigurationError(tuple(problems))
    return FileEntries(tuple(edits), document_by_entry)


def checked_configuration(
    configuration: FleetConfiguration, entries: FileEntries, edits: Iterable[Edit]
) -> FleetConfiguration:
    """Return the configuration with the edits applied.

    Raises ConfigurationError, with files and lines, if they are rejected.
    """
    edited = configuration.with_edits(edits)
    if isinstance(edited, Rejected):
        raise ConfigurationError(
            tuple(
                entries.problem(entry, misfit.path, misfit.expected)
                for entry, misfit in edited.misfits
            )
        )
    return edited


def changed_edits(
    configuration: FleetConfiguration, entries: FileEntries, prune: bool
) -> tuple[Edit, ...]:
    """Return the edits that change an entry.

    With ``prune``, entries that the files do not hold are removed.
    """
    changed = [
        edit
        for edit in entries.edits
        if configuration.raw_by_entry.get((edit.kind, edit.name)) != msgspec.json.encode(edit.value)
    ]
    if not prune:
        return tuple(changed)
    kept = {(edit.kind, edit.name) for edit in entries.edits}
    removed = [
        Edit(kind, name) for kind, name in configuration.raw_by_entry if (kind, name) not in kept
    ]
    return (*changed, *removed)


def _expand_folders(paths: Iterable[Path]) -> list[Path]:
    files: list[Path] = []
    for path in paths:
        files.extend(sorted(path.glob("*.yaml")) if path.is_dir() else [path])
    return files


def _document_edits(document: YamlDocument) -> list[Edit]:
    return [
        Edit(kind, name, value)
        for kind, section in SECTION_BY_KIND.items()
        for name, value in (document.data.get(section) or {}).items()
    ]
