"""The life of one request, told from the logs of several instances."""

import json
from collections.abc import Callable, Iterable, Iterator
from types import MappingProxyType
from typing import Any, Final

import attrs

_Fields = dict[str, Any]
#: Fields that stand at the start of a line and are not told again.
_COMMON: Final = frozenset(('time', 'instance', 'event', 'request'))


@attrs.frozen
class Step:
    """One line of a log that is about the request."""

    time: str
    instance: str
    event: str
    inputs: _Fields

    def sentence(self) -> str:
        """Tells the step, with the reason for it."""
        tell = _SENTENCES.get(self.event)
        told = tell(self.inputs) if tell else _list_inputs(self)
        return f'{self.time} {self.instance}: {told}'


def life_of(request_id: str, lines: Iterable[str]) -> list[Step]:
    """Returns the steps of a request in order of time.

    Lines may have a prefix before their JSON, such as a node's name; lines
    without JSON are left out.
    """
    steps = [
        step
        for step in _steps(lines)
        if step.inputs.get('request') == request_id
    ]
    return sorted(steps, key=_moment)


def _steps(lines: Iterable[str]) -> Iterator[Step]:
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            fields: _Fields = json.loads(line[start:])
        except ValueError:
            # A line that was cut off when its process was killed.
            continue
        yield Step(
            fields['time'],
            fields.get('instance', ''),
            fields.get('event', ''),
            fields,
        )


def _moment(step: Step) -> str:
    return step.time


def _list_inputs(step: Step) -> str:
    told = ', '.join(
        f'{name} {field}'
        for name, field in step.inputs.items()
        if name not in _COMMON
    )
    return f'{step.event}: {told}'


def _tell_dispatch(fields: _Fields) -> str:
    way = f' through {fields["via"]}' if fields.get('via') else ''
    tried = fields.get('tried')
    after = f', after {", ".join(tried)}' if tried else ''
    return (
        f'sent to {fields["upstream"]}{way}{after}: an answer was expected in '
        f'{fields["expected_ms"]} ms, {fields["remaining_ms"]} ms were left, '
        f'{fields["in_flight"]} of ours were there; waits up to '
        f'{fields["bound_ms"]} ms'
    )


def _tell_dispatch_end(fields: _Fields) -> str:
    proof = _PROOFS.get(fields['evidence'], fields['evidence'])
    reason = f' ({fields["reason"]})' if fields.get('reason') else ''
    return f'{fields["upstream"]} {proof}{reason} after {fields["took_ms"]} ms'


def _tell_refusal(fields: _Fields) -> str:
    return f'answered {fields["status"]} itself: {fields["reason"]}'


def _tell_break(fields: _Fields) -> str:
    last = fields.get('last_event') or 'none'
    return (
        f'the stream of {fields["upstream"]} broke ({fields["reason"]}); the '
        f'last whole event was {last}'
    )


def _tell_end(fields: _Fields) -> str:
    return f'answered whole after {fields["took_ms"]} ms'


def _tell_broken_off(fields: _Fields) -> str:
    return (
        f'broken off after {fields["took_ms"]} ms: the stream could not go on '
        'elsewhere, and the caller sees that it is incomplete'
    )


def _tell_departure(fields: _Fields) -> str:
    return f'the caller left after {fields["took_ms"]} ms; its work was ended'


def _tell_refused_end(fields: _Fields) -> str:
    return f'no upstream answered; ended after {fields["took_ms"]} ms'


_PROOFS: Final = MappingProxyType(
    {
        'not-sent': 'was not reached; nothing was sent',
        'not-run': 'said that it did not run the request',
        'may-have-run': 'gave no whole answer; it may have run the request',
        'failed': 'answered with a failure of its own',
        'answered': 'answered',
    }
)
_SENTENCES: Final = MappingProxyType[str, Callable[[_Fields], str]](
    {
        'dispatched': _tell_dispatch,
        'dispatch_ended': _tell_dispatch_end,
        'refused': _tell_refusal,
        'stream_broken': _tell_break,
        'answered': _tell_end,
        'broken_off': _tell_broken_off,
        'caller_left': _tell_departure,
        'gave_up': _tell_refused_end,
    }
)
