"""Tests of the package masticstage.edges."""
