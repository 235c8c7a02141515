"""The error of a connection that cannot bring its answer any more."""


class ConnectionBroken(ConnectionError):
    """The connection was lost, or received bytes that are not a valid response."""
