"""The program masticstage-instance: an instance of the gateway."""

from masticstage.early_signals import handle_early_signals


def main() -> None:
    """Entry point of the program."""
    handle_early_signals()
    import fire  # noqa: PLC0415

    from masticstage.instance_start import run  # noqa: PLC0415

    fire.Fire(run)


if __name__ == '__main__':
    main()
