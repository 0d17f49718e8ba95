"""Load tests, fault injection and measurements of masticstage."""
