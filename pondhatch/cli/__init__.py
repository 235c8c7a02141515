"""The command line."""

from pondhatch.cli._main import main

__all__ = ["main"]
