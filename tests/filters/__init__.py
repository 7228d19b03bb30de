"""Tests of the filters."""
