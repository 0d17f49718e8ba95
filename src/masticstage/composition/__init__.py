"""Composition root: builds the central object of each program from settings.

Each program has its own module, so that it imports only what it runs.
"""
