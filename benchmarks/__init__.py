"""Measurements; each command prints JSON and is seeded."""
