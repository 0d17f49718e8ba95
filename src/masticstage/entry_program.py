"""The program masticstage-entry: an entry instance on the users' platform."""

import gc

from masticstage.early_signals import handle_early_signals


def main() -> None:
    """Entry point of the program."""
    handle_early_signals()
    # Imports keep almost all objects that they create. Looking through these
    # takes an eighth of the processor time of the imports.
    gc.disable()
    import fire  # noqa: PLC0415

    from masticstage.entry import run  # noqa: PLC0415

    fire.Fire(run)


if __name__ == '__main__':
    main()
