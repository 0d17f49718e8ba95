"""Collects the platform's formats for the composition root."""

from collections.abc import Mapping

from masticstage.forwarding.wire import WireFormat
from masticstage.platform import callers, keys, upstreams
from masticstage.platform.records import build_record_decoder


def build_wire_format(region_of: Mapping[str, str]) -> WireFormat:
    """Returns the platform's formats, given each data centre's region."""
    return WireFormat(
        callers.read_request,
        upstreams.dispatch_headers,
        upstreams.read_answer,
        callers.refusal_headers,
        callers.read_entry_query,
        callers.write_entries,
        build_record_decoder(region_of),
        callers.is_readiness_query,
        keys.name_team,
    )
