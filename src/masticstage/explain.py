"""Describes the steps of a request from the logs of several instances."""

import json
from collections.abc import Callable, Iterable, Iterator
from types import MappingProxyType
from typing import Any, Final

import attrs

_Fields = dict[str, Any]
#: Fields that are part of every description, so not listed again.
_COMMON_FIELDS: Final = frozenset(('time', 'instance', 'event', 'request'))


@attrs.frozen
class Step:
    """One event of a request.

    `fields` has all fields of the log line, including the other attributes.
    """

    time: str
    instance: str
    event: str
    fields: _Fields

    def describe(self) -> str:
        """Returns a line of text with time, instance, event and reason."""
        describe_event = _DESCRIBERS.get(self.event)
        description = (
            describe_event(self.fields)
            if describe_event
            else _list_fields(self)
        )
        return f'{self.time} {self.instance}: {description}'


def steps_of(request_id: str, lines: Iterable[str]) -> list[Step]:
    """Returns the steps of a request, ordered by time.

    Lines may have a prefix before their JSON, such as a host name. Lines
    without complete JSON are skipped.
    """
    steps = [
        step
        for step in _parse_steps(lines)
        if step.fields.get('request') == request_id
    ]
    return sorted(steps, key=_step_time)


def _parse_steps(lines: Iterable[str]) -> Iterator[Step]:
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            fields: _Fields = json.loads(line[start:])
        except ValueError:
            # The process was killed while it wrote the line.
            continue
        yield Step(
            fields['time'],
            fields.get('instance', ''),
            fields.get('event', ''),
            fields,
        )


def _step_time(step: Step) -> str:
    return step.time


def _list_fields(step: Step) -> str:
    listed = ', '.join(
        f'{name} {field}'
        for name, field in step.fields.items()
        if name not in _COMMON_FIELDS
    )
    return f'{step.event}: {listed}'


def _describe_dispatch(fields: _Fields) -> str:
    route = f' through {fields["via"]}' if fields.get('via') else ''
    tried = fields.get('tried')
    after = f', after trying {", ".join(tried)}' if tried else ''
    left_out = fields.get('left_out') or {}
    after += ''.join(
        f'; {name} {notice}' for name, notice in sorted(left_out.items())
    )
    return (
        f'sent to {fields["upstream"]}{route}{after}: answer expected in '
        f'{fields["expected_ms"]} ms, {fields["remaining_ms"]} ms remaining, '
        f'{fields["in_flight"]} requests of this instance in flight there; '
        f'timeout {fields["bound_ms"]} ms'
    )


def _describe_dispatch_end(fields: _Fields) -> str:
    evidence = _EVIDENCE_TEXTS.get(fields['evidence'], fields['evidence'])
    reason = f' ({fields["reason"]})' if fields.get('reason') else ''
    return (
        f'{fields["upstream"]} {evidence}{reason} after {fields["took_ms"]} ms'
    )


def _describe_refusal(fields: _Fields) -> str:
    team = f' for team {fields["team"]}' if fields.get('team') else ''
    return f'refused with status {fields["status"]}{team}: {fields["reason"]}'


def _describe_quota(fields: _Fields) -> str:
    age_ms = fields['answer_age_ms']
    known = (
        'no keeper of the limit has answered yet'
        if age_ms is None
        else f'{fields["region_level"]} in its region {age_ms} ms before'
    )
    return (
        f'team {fields["team"]} asked for {fields["tokens"]} tokens and had '
        f'{fields["balance"]} here, {known}: expected in '
        f'{fields["retry_after_ms"]} ms'
    )


def _describe_broken_stream(fields: _Fields) -> str:
    last = fields.get('last_event') or 'none'
    return (
        f'the stream of {fields["upstream"]} broke ({fields["reason"]}); the '
        f'last complete event was {last}'
    )


def _describe_answered(fields: _Fields) -> str:
    return f'answered completely after {fields["took_ms"]} ms'


def _describe_abort(fields: _Fields) -> str:
    return (
        f'aborted after {fields["took_ms"]} ms: the stream could not be '
        'resumed elsewhere; the caller can tell that the answer is incomplete'
    )


def _describe_disconnect(fields: _Fields) -> str:
    return (
        f'the caller disconnected after {fields["took_ms"]} ms; its request '
        'was cancelled'
    )


def _describe_give_up(fields: _Fields) -> str:
    return f'no upstream answered; gave up after {fields["took_ms"]} ms'


def _describe_retry(fields: _Fields) -> str:
    return (
        f'no retry: the budget for {fields["service"]} is used up after '
        f'{fields["used"]} of this instance in the last window'
    )


def _describe_leaving(fields: _Fields) -> str:
    return f'{fields["upstream"]} said that it leaves ({fields["source"]})'


def _describe_rest(fields: _Fields) -> str:
    return (
        f'{fields["upstream"]} asked this instance for a rest of '
        f'{fields["rest_ms"]} ms'
    )


_EVIDENCE_TEXTS: Final = MappingProxyType(
    {
        'not-sent': 'was not reached; nothing was sent',
        'not-run': 'reported that it did not run the request',
        'may-have-run': 'gave no complete answer; it may have run the request',
        'failed': 'answered with an error of its own',
        'answered': 'answered',
    }
)
_DESCRIBERS: Final = MappingProxyType[str, Callable[[_Fields], str]](
    {
        'dispatched': _describe_dispatch,
        'dispatch_ended': _describe_dispatch_end,
        'refused': _describe_refusal,
        'quota_refused': _describe_quota,
        'retry_refused': _describe_retry,
        'upstream_leaving': _describe_leaving,
        'upstream_rest': _describe_rest,
        'stream_broken': _describe_broken_stream,
        'answered': _describe_answered,
        'broken_off': _describe_abort,
        'caller_left': _describe_disconnect,
        'gave_up': _describe_give_up,
    }
)
