"""Decisions about routed requests, without I/O; the clock is passed in."""
