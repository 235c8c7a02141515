"""Pondhatch: a fleet of routers that send recurring chats to the engines that hold their context.

There is one program and one kind of process: ``pondhatch run`` starts a router. The other
commands check and apply the configuration, and show the state of a router.
"""

__version__ = "0.1.0"
