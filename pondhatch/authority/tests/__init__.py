"""Tests of authority."""
