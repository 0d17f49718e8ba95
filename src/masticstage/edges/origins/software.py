"""Which software version answers a request."""

from typing import Final

from masticstage.edges.answer_parser import AnswerHead
from masticstage.edges.gateway import Gateway
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.requests import Header
from masticstage.forwarding.view import KnownUpstream

#: From a peer that relayed: "=" and the version of the upstream that answered,
#: empty if it is unknown there.
SOFTWARE_HEADER: Final = b'masticstage-software'
_KNOWN: Final = '='


def answering_software(
    gateway: Gateway, head: AnswerHead, choice: Choice, upstream: str
) -> str | None:
    """Returns the version of the upstream that answered, None if unknown.

    It is unknown if the record has changed since the upstream was chosen.
    Older programs do not name it when they relay.
    """
    named = dict(head.headers).get(SOFTWARE_HEADER)
    if choice.candidate.via is not None and named is not None:
        _, known, software = named.decode('latin-1').partition(_KNOWN)
        return software if known else None
    current = _find(gateway, upstream)
    if current is None:
        return None
    chosen = choice.candidate.known_upstream.record
    is_same = chosen.started_at_ms == current.record.started_at_ms
    if choice.candidate.via is None and not is_same:
        return None
    return gateway.views.chooser.software_of(current)


def _find(gateway: Gateway, upstream: str) -> KnownUpstream | None:
    """Returns a published upstream by name, also one that leaves."""
    known = gateway.views.fleet.all_upstreams()
    return next((one for one in known if one.record.name == upstream), None)


def software_header(software: str | None) -> Header:
    """Returns the header that names a version to the sender of a relay."""
    text = '' if software is None else _KNOWN + software
    return SOFTWARE_HEADER, text.encode('latin-1')
