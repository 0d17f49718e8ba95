"""What may be the cause of a crash, and how crashes are told apart."""

from typing import Final

import attrs
import xxhash

from masticstage.forwarding.published import UpstreamRecord
from masticstage.forwarding.requests import CallerRequest

#: Digests and ids of prompt parts are hexadecimal; their last 64 bits are used.
_HEX_BASE: Final = 16
_MAX_ID: Final = 0xFFFFFFFFFFFFFFFF
_HALF_BITS: Final = 32


@attrs.frozen(order=True)
class Cause:
    """A possible cause of crashes: a prompt part, or a request's content.

    `depth` is the number of parts before a part; the same part may be known
    with several.
    """

    is_part: bool
    digest: int
    depth: int = attrs.field(default=0, eq=False, order=False)

    @property
    def narrowness(self) -> tuple[bool, int]:
        """How few callers it has in common; the greater, the fewer.

        The content of a request has fewest, a part fewer than those before it.
        """
        return (not self.is_part, self.depth)

    def __str__(self) -> str:
        """Returns the kind and the digest in hexadecimal, for logs."""
        kind = 'part' if self.is_part else 'request'
        return f'{kind} {self.digest:x}'


Causes = frozenset[Cause]


@attrs.frozen(order=True)
class Weight:
    """How many upstreams have crashed, and how often together."""

    upstreams: int
    crashes: int


def possible_causes(request: CallerRequest, fingerprint: str) -> Causes:
    """Returns what may be the cause if an upstream crashes on a request.

    The last part of a prompt belongs to the request and is no cause of its own.
    """
    whole = Cause(is_part=False, digest=_parse_digest(fingerprint))
    parts = (
        Cause(is_part=True, digest=_parse_digest(part.part_id), depth=depth)
        for depth, part in enumerate(request.prompt.shared_prefix)
    )
    return frozenset((whole, *parts))


def identify_crash(upstream: UpstreamRecord) -> int:
    """Returns a hash of the crash of an upstream.

    Its upper half identifies the upstream by its address, which it has again
    after a restart, the lower half its run until the crash.
    """
    address = xxhash.xxh32_intdigest(upstream.address.encode())
    run = f'{upstream.name}\0{upstream.started_at_ms}'
    return address << _HALF_BITS | xxhash.xxh32_intdigest(run.encode())


def weigh_crashes(crashes: frozenset[int]) -> Weight:
    """Returns how many upstreams crashed, and how often."""
    upstreams = {crash >> _HALF_BITS for crash in crashes}
    return Weight(len(upstreams), len(crashes))


def _parse_digest(identity: str) -> int:
    return int(identity, _HEX_BASE) & _MAX_ID
