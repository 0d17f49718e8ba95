"""The platform's formats, bound together for the composition root."""

from collections.abc import Mapping

from masticstage.forwarding.wire import WireFormat
from masticstage.platform import callers, upstreams
from masticstage.platform.records import record_decoder


def build_wire(region_of: Mapping[str, str]) -> WireFormat:
    """Returns the formats, given the region of each data centre."""
    return WireFormat(
        callers.read_request,
        upstreams.dispatch_headers,
        upstreams.read_answer,
        callers.refusal_headers,
        callers.read_entry_query,
        callers.write_entries,
        record_decoder(region_of),
        callers.is_readiness_query,
    )
