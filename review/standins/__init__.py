"""Stand-ins for clients, engines and the platform, with the standard library only."""
