"""Adapter to the users' platform: its names, formats and calls.

Decisions are made in `masticstage.forwarding`.
"""
