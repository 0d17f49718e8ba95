"""Tests of the package masticstage.forwarding.crashes."""
