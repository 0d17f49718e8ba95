"""What began a stream."""

import attrs


@attrs.frozen
class Origin:
    """The service that began a stream, and the version of its software.

    The version is None if it is unknown; then no upstream may go on.
    """

    service: str
    software: str | None

    def allows(self, software: str | None) -> bool:
        """Returns whether an upstream of a version may go on."""
        return self.software is not None and software == self.software
