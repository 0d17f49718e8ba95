"""Starts an entry instance from a source tree, without an installation."""

from masticstage.entry_program import main

if __name__ == '__main__':
    main()
