"""Which software version began a stream, and so may go on with it."""
