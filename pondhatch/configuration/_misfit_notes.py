"""What is wrong with entries, noted while edits are taken in."""

from __future__ import annotations

from collections.abc import Iterable

from pondhatch.configuration._changes import EntryKey
from pondhatch.configuration._fit import Misfit


class MisfitNotes:
    """Misfits by entry, and which entries are to blame for them."""

    def __init__(self) -> None:
        self.by_entry: dict[EntryKey, list[Misfit]] = {}
        #: Of two entries that claim the same, the one that was edited is to blame.
        self.blamed: list[tuple[EntryKey, Misfit]] = []

    def note(self, kind: str, name: str, misfit: Misfit) -> None:
        """Note a misfit of an entry, which is to blame for it."""
        self.keep(kind, name, misfit)
        self.blame(kind, name, misfit)

    def note_all(self, kind: str, name: str, misfits: Iterable[Misfit]) -> None:
        """Note misfits of an entry, which is to blame for them."""
        for misfit in misfits:
            self.note(kind, name, misfit)

    def keep(self, kind: str, name: str, misfit: Misfit) -> None:
        """Note that an entry is not in force as it stands, and not by its own fault."""
        self.by_entry.setdefault((kind, name), []).append(misfit)

    def blame(self, kind: str, name: str, misfit: Misfit) -> None:
        """Note what is wrong for whoever writes an entry; accepted, it is in force."""
        self.blamed.append(((kind, name), misfit))
