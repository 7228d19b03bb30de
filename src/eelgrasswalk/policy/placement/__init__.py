"""Decisions on which upstream serves a call."""
