"""The formats of upstreams: headers of a dispatch, heads of answers."""

from datetime import timedelta
from typing import Final

from masticstage.clock import milliseconds
from masticstage.forwarding.loads import ReportedLoad
from masticstage.forwarding.requests import CallerRequest, Headers
from masticstage.forwarding.wire import AnswerFacts, DispatchOptions
from masticstage.platform import words

#: Status of an upstream that is not the one that was named; it ran nothing.
_MISDIRECTED: Final = 421
_MS: Final = timedelta(milliseconds=1)
#: Least urgent priority of the platform's engines.
_LEAST_URGENT: Final = 9
#: Body encodings that leave the body as it is.
_PLAIN: Final = frozenset((b'', b'identity'))


def dispatch_headers(request: CallerRequest, order: DispatchOptions) -> Headers:
    """Returns the headers of a request as it goes to an upstream."""
    headers = [
        *request.headers,
        (words.DEADLINE_MS, b'%d' % max(1, order.remaining // _MS)),
        (words.TARGET_INSTANCE, order.upstream.encode('latin-1')),
    ]
    last_event_id = order.last_event_id or request.last_event_id
    if last_event_id:
        headers.append((words.LAST_EVENT_ID, last_event_id.encode('latin-1')))
    if order.fetch_from:
        headers.append((words.FETCH_FROM, order.fetch_from.encode('latin-1')))
    if request.prompt.tokens_in:
        priority = min(order.priority, _LEAST_URGENT)
        headers.append((words.PRIORITY, b'%d' % priority))
    return tuple(headers)


def read_answer(status: int, headers: Headers, request_id: str) -> AnswerFacts:
    """Decodes the head of an answer to the request with this id."""
    fields = dict(headers)
    named = fields.get(words.REQUEST_ID)
    is_not_run = words.NOT_EXECUTED in fields or status == _MISDIRECTED
    return AnswerFacts(
        status,
        named is None or named.decode('latin-1') == request_id,
        is_not_run,
        words.SIGNATURE in fields,
        fields.get(words.CONTENT_ENCODING, b'') not in _PLAIN,
        _read_load(fields.get(words.LOAD)),
        _read_warmup(fields.get(words.WARMUP_MS)),
        fields.get(words.INSTANCE_ID, b'').decode('latin-1'),
    )


def _read_load(field: bytes | None) -> ReportedLoad | None:
    if field is None:
        return None
    try:
        running, waiting, slots = (int(count) for count in field.split(b','))
    except ValueError:
        return None
    return ReportedLoad(running, waiting, slots)


def _read_warmup(field: bytes | None) -> timedelta:
    if field is None:
        return timedelta()
    try:
        return milliseconds(float(field))
    except (ValueError, OverflowError):
        return timedelta()
