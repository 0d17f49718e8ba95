"""Load patterns seen in production, against the decisions without I/O."""
