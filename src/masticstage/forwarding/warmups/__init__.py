"""Warm-ups of upstreams: which are cold, and who may send to them."""
