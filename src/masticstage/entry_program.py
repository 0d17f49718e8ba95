"""The program masticstage-entry: an entry instance on the users' platform."""

import fire

from masticstage.entry import run


def main() -> None:
    """Entry point of the program."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
