"""Decides which requests crash upstreams and are refused for that."""
