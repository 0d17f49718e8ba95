"""Tests of masticstage; each module mirrors one of the package."""
