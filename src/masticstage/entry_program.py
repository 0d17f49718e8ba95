"""The program masticstage-entry: an entry instance on the users' platform."""

from masticstage.early_signals import handle_early_signals


def main() -> None:
    """Entry point of the program."""
    handle_early_signals()
    import fire  # noqa: PLC0415

    from masticstage.entry import run  # noqa: PLC0415

    fire.Fire(run)


if __name__ == '__main__':
    main()
