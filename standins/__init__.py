"""Stand-ins for the systems around masticstage, for tests and benchmarks.

The package masticstage does not import them.
"""
