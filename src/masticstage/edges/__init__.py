"""Input and output of routed requests: HTTP/1.1 over trio and h11."""
