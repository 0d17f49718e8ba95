"""Which software version answers a request."""

from typing import Final

from masticstage.edges.answer_parser import AnswerHead
from masticstage.edges.gateway import Gateway
from masticstage.edges.notices import find_record
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.requests import Header

#: From a peer that relayed: "=" and the version of the upstream that answered,
#: empty if it is unknown there.
SOFTWARE_HEADER: Final = b'masticstage-software'
_KNOWN: Final = '='


def answering_software(
    gateway: Gateway, head: AnswerHead, choice: Choice, upstream: str
) -> str | None:
    """Returns the version of the upstream that answered, None if unknown.

    Older programs do not name it when they relay.
    """
    if choice.candidate.via is None:
        return gateway.views.chooser.software_of(
            choice.candidate.known_upstream
        )
    named = dict(head.headers).get(SOFTWARE_HEADER)
    if named is not None:
        _, known, software = named.decode('latin-1').partition(_KNOWN)
        return software if known else None
    record = find_record(gateway.views.fleet, upstream)
    return record.software if record else None


def software_header(software: str | None) -> Header:
    """Returns the header that names a version to the sender of a relay."""
    text = '' if software is None else _KNOWN + software
    return SOFTWARE_HEADER, text.encode('latin-1')
