"""Collects a body in blocks of similar size.

Many byte arrays that grow at the same time leave gaps in the heap which take
as much memory again.  Blocks of one size leave gaps that the next one fills.
"""

import sys
from typing import Final, final

import attrs

#: Bytes after which a block is complete.
_BLOCK_BYTES: Final = 16384


@final
@attrs.define(eq=False)
class BodyBuffer:
    """The bytes of a body that is being received."""

    _blocks: list[bytes] = attrs.field(factory=list)
    _last: bytearray = attrs.field(factory=bytearray)
    _complete_bytes: int = 0

    @property
    def allocated_bytes(self) -> int:
        """Bytes of memory that the body takes."""
        return sum(map(sys.getsizeof, (*self._blocks, self._last)))

    def __len__(self) -> int:
        """Returns how many bytes were received."""
        return self._complete_bytes + len(self._last)

    def append(self, part: bytes) -> None:
        """Adds received bytes."""
        self._last += part
        if len(self._last) >= _BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._complete_bytes += len(self._last)
            self._last.clear()

    def join(self) -> bytes:
        """Returns the body."""
        return b''.join((*self._blocks, self._last))

    def take(self) -> bytes:
        """Returns the body and frees the blocks."""
        body = self.join()
        self.clear()
        return body

    def clear(self) -> None:
        """Frees the blocks."""
        self._blocks.clear()
        self._last.clear()
        self._complete_bytes = 0
