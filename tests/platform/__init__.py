"""Tests of the package masticstage.platform."""
