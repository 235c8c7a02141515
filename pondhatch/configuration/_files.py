"""Operators' files: read, held to their schema, and turned into edits."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from pondhatch.configuration._changes import Edit, EntryKey
from pondhatch.configuration._fit import fit
from pondhatch.configuration._fleet import Fleet, Rejected
from pondhatch.configuration._problems import ConfigurationError, Problem
from pondhatch.configuration._schema import FleetFile
from pondhatch.configuration._yaml import Document, FieldPath, load

#: Section of a file by kind of entry.
SECTION_BY_KIND = {
    "service": "services",
    "route": "routes",
    "template": "templates",
    "account": "accounts",
}


class Sources(msgspec.Struct, frozen=True):
    """Entries read from files, and the document that each stands in."""

    edits: tuple[Edit, ...]
    document_by_entry: dict[EntryKey, Document]

    def problem(self, entry: EntryKey, path: FieldPath, expected: str) -> Problem:
        """Return a problem at a field of an entry, with its file and line."""
        kind, name = entry
        whole_path = (SECTION_BY_KIND.get(kind, kind), name, *path)
        document = self.document_by_entry.get(entry)
        if document is None:
            return Problem("(in force)", 0, ".".join(map(str, whole_path)), expected)
        return document.problem(whole_path, expected)


def read_files(paths: Iterable[Path]) -> Sources:
    """Read YAML files, or folders of them. Raises ConfigurationError with every problem."""
    problems: list[Problem] = []
    edits: list[Edit] = []
    document_by_entry: dict[EntryKey, Document] = {}
    for path in _expanded(paths):
        try:
            document = load(path)
        except ConfigurationError as error:
            problems.extend(error.problems)
            continue
        fitted = fit(FleetFile, document.data)
        if not isinstance(fitted, FleetFile):
            problems.extend(document.problem(each.path, each.expected) for each in fitted)
            continue
        for edit in _entries(document):
            first = document_by_entry.setdefault((edit.kind, edit.name), document)
            if first is not document:
                where = (SECTION_BY_KIND[edit.kind], edit.name)
                problems.append(document.problem(where, f"already defined in {first.file}"))
            edits.append(edit)
    if problems:
        raise ConfigurationError(tuple(problems))
    return Sources(tuple(edits), document_by_entry)


def checked(fleet: Fleet, sources: Sources, edits: Iterable[Edit]) -> Fleet:
    """Return the configuration with edits; raise ConfigurationError with files and lines."""
    edited = fleet.with_edits(edits)
    if isinstance(edited, Rejected):
        raise ConfigurationError(
            tuple(
                sources.problem(entry, misfit.path, misfit.expected)
                for entry, misfit in edited.misfits
            )
        )
    return edited


def differences(fleet: Fleet, sources: Sources, prune: bool) -> tuple[Edit, ...]:
    """Return only the edits that change something; with ``prune`` also the removals."""
    changed = [
        edit
        for edit in sources.edits
        if fleet.raw_by_entry.get((edit.kind, edit.name)) != msgspec.json.encode(edit.value)
    ]
    if not prune:
        return tuple(changed)
    kept = {(edit.kind, edit.name) for edit in sources.edits}
    removed = [Edit(kind, name) for kind, name in fleet.raw_by_entry if (kind, name) not in kept]
    return (*changed, *removed)


def _expanded(paths: Iterable[Path]) -> list[Path]:
    files: list[Path] = []
    for path in paths:
        files.extend(sorted(path.glob("*.yaml")) if path.is_dir() else [path])
    return files


def _entries(document: Document) -> list[Edit]:
    return [
        Edit(kind, name, value)
        for kind, section in SECTION_BY_KIND.items()
        for name, value in (document.data.get(section) or {}).items()
    ]
