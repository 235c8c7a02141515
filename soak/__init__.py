"""A soak of the real programs: drawn faults from outside, promises checked from outside."""
