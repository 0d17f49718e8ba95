"""Keeps streams that go on at the software version that began them."""
