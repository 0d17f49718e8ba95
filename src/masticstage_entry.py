"""Starts an entry instance from a source tree, without an installation."""

from masticstage.entry import run

if __name__ == '__main__':
    run()
