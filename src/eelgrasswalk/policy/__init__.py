"""Decisions without I/O, clocks or randomness of their own."""
