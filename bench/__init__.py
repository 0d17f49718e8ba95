"""Load, experiments and proofs over real processes of masticstage."""
