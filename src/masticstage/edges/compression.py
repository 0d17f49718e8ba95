"""Compression of bodies that cross between regions.

Links between regions are slow and priced by the byte; prompts are text.
"""

import zlib
from typing import Final

from masticstage.exceptions import InvalidRequestError

#: Shortest body that is compressed.
_MIN_BYTES: Final = 1024
#: Bytes at the start of a body by which it is judged.
_SAMPLE_BYTES: Final = 2048
#: Largest compressed size, as a fraction, for which compression is worth its
#: processor time.
_MAX_RATIO: Final = 0.8
#: Fastest level of zlib.
_LEVEL: Final = 1
#: Largest body after decompression, as for bodies of callers.
_MAX_BODY_BYTES: Final = 8_388_608


def compress(body: bytes) -> bytes:
    """Returns a compressed body, empty if that would not be much smaller."""
    if len(body) < _MIN_BYTES:
        return b''
    sample = body[:_SAMPLE_BYTES]
    if len(zlib.compress(sample, _LEVEL)) > _MAX_RATIO * len(sample):
        return b''
    compressed = zlib.compress(body, _LEVEL)
    is_smaller = len(compressed) <= _MAX_RATIO * len(body)
    return compressed if is_smaller else b''


def decompress(compressed: bytes) -> bytes:
    """Returns the body; raises InvalidRequestError if there is none."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, _MAX_BODY_BYTES)
    except zlib.error as error:
        raise InvalidRequestError('a compressed body') from error
    if not decompressor.eof:
        raise InvalidRequestError('a whole body of bounded size')
    return body
