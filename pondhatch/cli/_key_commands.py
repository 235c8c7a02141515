"""The command that creates API keys."""

from __future__ import annotations

import hashlib
import secrets

from pondhatch.cli._reports import EXIT_DONE


def new_key() -> int:
    """Create an API key; print the key for the caller and its hash for the account."""
    key = f"pk-{secrets.token_urlsafe(32)}"
    print(f"key: {key}")
    print(f"hash: {hashlib.sha256(key.encode()).hexdigest()}")
    return EXIT_DONE
