"""Starts an entry instance from a source tree, without installing it."""

from masticstage.entry import run

if __name__ == '__main__':
    run()
