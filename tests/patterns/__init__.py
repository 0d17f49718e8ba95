"""Load patterns of users' deployments, tested on the decisions alone."""
