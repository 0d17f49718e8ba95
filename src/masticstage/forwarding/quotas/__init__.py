"""Limits of a team over all instances: leased tokens, without I/O.

Each region owns a fixed share of each limit. In each region one instance keeps
it for a team, and leases tokens to the instances that serve the team.
"""
