"""Deployment, replicas and partitions for the scripts of the second review."""
