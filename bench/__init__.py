"""Measures of the code that serves, and the demo."""
