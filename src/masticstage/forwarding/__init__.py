"""Decisions about routed requests: pure, with the clock passed in."""
