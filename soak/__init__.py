"""A soak test of the real programs: injects drawn faults and checks promises from outside."""
