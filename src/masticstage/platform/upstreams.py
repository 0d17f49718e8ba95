"""Encodes headers of requests to upstreams, decodes heads of their answers."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final

from masticstage.forwarding.loads import ReportedLoad
from masticstage.forwarding.requests import CallerRequest, Headers
from masticstage.forwarding.wire import (
    AnswerFacts,
    DispatchOptions,
    NamedRequest,
)
from masticstage.platform import names
from masticstage.platform.numbers import MAX_COUNT, read_duration, read_number

#: Status of an upstream other than the target; it did not run the request.
_MISDIRECTED: Final = 421
#: Longest rest that is believed.
_MAX_REST_S: Final = 3600
_MS: Final = timedelta(milliseconds=1)
#: The highest number that engines accept; higher numbers are less urgent.
_LEAST_URGENT_PRIORITY: Final = 9
#: Figures of a load that includes how long work takes, and the usual value.
_COUNTS_WITH_WORK: Final = 4
_USUAL_WORK: Final = 100
#: Content encodings that leave the body as it is.
_IDENTITY_ENCODINGS: Final = frozenset((b'', b'identity'))


def dispatch_headers(
    request: CallerRequest, options: DispatchOptions
) -> Headers:
    """Returns the headers of a request to an upstream.

    A priority is only sent with requests that have a prompt.
    """
    headers = [
        *request.headers,
        (names.DEADLINE_MS, b'%d' % max(1, options.remaining // _MS)),
        (names.TARGET_INSTANCE, options.upstream.encode('latin-1')),
    ]
    last_event_id = options.last_event_id or request.last_event_id
    if last_event_id:
        headers.append((names.LAST_EVENT_ID, last_event_id.encode('latin-1')))
    if options.fetch_from:
        headers.append((names.FETCH_FROM, options.fetch_from.encode('latin-1')))
    if request.prompt.tokens_in:
        priority = min(options.priority, _LEAST_URGENT_PRIORITY)
        headers.append((names.PRIORITY, b'%d' % priority))
    return tuple(headers)


def read_answer(
    status: int, headers: Headers, request_id: str, upstream: str
) -> AnswerFacts:
    """Decodes the head of the answer to a request sent to `upstream`.

    A load that cannot be decoded is None, such a warm-up time is zero.
    """
    fields = dict(headers)
    instance = fields.get(names.INSTANCE_ID, b'').decode('latin-1')
    is_misdirected = status == _MISDIRECTED and instance not in {'', upstream}
    return AnswerFacts(
        status,
        _find_named_request(fields.get(names.REQUEST_ID), request_id),
        names.NOT_EXECUTED in fields or is_misdirected,
        names.SIGNATURE in fields,
        fields.get(names.CONTENT_ENCODING, b'') not in _IDENTITY_ENCODINGS,
        _read_load(fields.get(names.LOAD)),
        _read_warmup(fields.get(names.WARMUP_MS)),
        instance,
        # Another upstream than the target answers 421, for itself.
        fields.get(names.LEAVING) == b'1' and status != _MISDIRECTED,
        _read_rest(status, fields.get(names.RETRY_AFTER)),
    )


def _find_named_request(field: bytes | None, request_id: str) -> NamedRequest:
    if field is None:
        return NamedRequest.NONE
    is_this = field.decode('latin-1') == request_id
    return NamedRequest.THIS if is_this else NamedRequest.ANOTHER


def _read_rest(status: int, field: bytes | None) -> timedelta:
    """Returns the rest in a refusal; zero for values that make no sense."""
    if field is None or status != HTTPStatus.SERVICE_UNAVAILABLE:
        return timedelta()
    try:
        seconds = read_number(float(field), _MAX_REST_S)
    except ValueError:
        return timedelta()
    return timedelta(seconds=seconds)


def _read_load(field: bytes | None) -> ReportedLoad | None:
    """Returns the load of an upstream, from three figures or four.

    The fourth is how long work takes there. If it is unusable, the others are
    still valid.
    """
    if field is None:
        return None
    counts, work = field.split(b','), b''
    if len(counts) == _COUNTS_WITH_WORK:
        work = counts.pop()
    try:
        running, waiting, slots = (
            int(read_number(int(count), MAX_COUNT)) for count in counts
        )
    except ValueError:
        return None
    return ReportedLoad(running, waiting, slots, _read_slowdown(work))


def _read_slowdown(work: bytes) -> float | None:
    try:
        ratio = read_number(float(work), MAX_COUNT) / _USUAL_WORK
    except ValueError:
        return None
    return ratio or None


def _read_warmup(field: bytes | None) -> timedelta:
    if field is None:
        return timedelta()
    try:
        return read_duration(float(field))
    except ValueError:
        return timedelta()
