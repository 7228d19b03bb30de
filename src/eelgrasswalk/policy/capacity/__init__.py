"""Decisions on how much a target is sent, and when calls start."""
