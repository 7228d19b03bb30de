"""Filters that handle a call at the caller's and the upstream's node."""
