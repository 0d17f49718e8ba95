"""Load patterns of the users' days, against the decisions alone."""
