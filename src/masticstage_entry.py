"""Starts an entry instance from a source tree, without installing it."""

from masticstage.early_signals import handle_early_signals

if __name__ == '__main__':
    handle_early_signals()
    from masticstage.entry import run

    run()
