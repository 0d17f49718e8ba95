"""Finds out which upstreams are cold, and tells other instances."""
