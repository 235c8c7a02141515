"""Pondhatch: a router fleet for many returning chats.

One program, one kind of process. ``pondhatch run`` starts a router; the other
subcommands check and apply configuration and show what a router does.
"""

__version__ = "0.1.0"
