"""Composition root: builds the programs' central objects from settings.

One module for each program, so that each imports only what it runs.
"""
