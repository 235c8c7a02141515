"""Measures of the production code, and the demo."""
