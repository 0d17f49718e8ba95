"""Records of one run by callers, upstreams and instances, and checks on them.

A check is a pure function from a history to its violations.
"""

import json
from collections import Counter
from collections.abc import Iterator
from types import MappingProxyType
from typing import Any, Final

import attrs

from bench.deployments import Deployment
from bench.workload import ONCE, PRIVATE, Operation
from masticstage.outcomes import Outcome
from standins.engine import digest_request, expected_text

#: Upstreams that one request may crash before it is quarantined.
MAX_CRASHES: Final = 2


@attrs.frozen
class Observation:
    """The result of one operation as its caller received it.

    `outcome` is set for calls and lookups, `text` for complete model answers.
    Times are seconds of the monotonic clock; `first_event_s` is the arrival of
    the first event of a model answer.
    """

    operation: Operation
    outcome: Outcome | None = None
    text: str | None = None
    stream_id: str = ''
    body: bytes = b''
    failure: str = ''
    started_s: float = 0
    first_event_s: float = 0
    ended_s: float = 0
    resumes: int = 0
    restarts: int = 0
    longest_stall_s: float = 0
    sealed_tickets: int = 0


@attrs.frozen
class Violation:
    """A property that did not hold.

    `name` is that of the property; `subject` identifies what violated it: the
    request by its id or the digest of its body, the upstream or the instance.
    """

    name: str
    subject: str
    detail: str


@attrs.frozen
class History:
    """Everything that was recorded during one run.

    `observations` are the results that callers got, `records` the events that
    upstreams logged, and `audits` the audit entries of the instances.
    """

    deployment: Deployment
    observations: tuple[Observation, ...]
    records: tuple[dict[str, Any], ...]
    audits: tuple[dict[str, Any], ...] = ()

    def executions(self) -> Counter[str]:
        """Returns how often each call was executed, by request id."""
        return Counter(
            record['call']
            for record in self.records
            if record['event'] == 'executed'
        )


def check_at_most_once(history: History) -> Iterator[Violation]:
    """No call that may not be repeated is executed twice."""
    for call, count in history.executions().items():
        if count > 1:
            yield Violation('at_most_once', call, f'executed {count} times')


def check_not_run(history: History) -> Iterator[Violation]:
    """A call that was reported as `not_run` to its caller never ran."""
    executions = history.executions()
    for observation in history.observations:
        request_id = observation.operation.request_id
        if observation.outcome is Outcome.NOT_RUN and executions[request_id]:
            yield Violation('not_run', request_id, 'executed although not_run')


def check_whole_answer(history: History) -> Iterator[Violation]:
    """A model answer is complete and answers the caller's own request."""
    for observation in history.observations:
        if observation.text is None:
            continue
        digest = digest_request(observation.operation.encode())
        tokens = observation.operation.body['max_tokens']
        if observation.text != expected_text(
            digest, observation.stream_id, tokens
        ):
            yield Violation(
                'whole_answer',
                observation.operation.request_id,
                'text differs from the expected answer',
            )


def check_call_answers(history: History) -> Iterator[Violation]:
    """The answer to a call that ran belongs to that call."""
    for observation in history.observations:
        if (
            observation.outcome is not Outcome.RAN
            or observation.operation.kind != ONCE
        ):
            continue
        request_id = observation.operation.request_id
        if json.loads(observation.body or b'{}') != {
            'call': request_id,
            'done': True,
        }:
            yield Violation('whole_answer', request_id, str(observation.body))


def check_residency(history: History) -> Iterator[Violation]:
    """A request bound to its home region is served in no other."""
    homes = {
        observation.operation.request_id: observation.operation.region
        for observation in history.observations
        if observation.operation.kind == PRIVATE
    }
    for record in history.records:
        if record['event'] != 'started':
            continue
        request_id = str(record['stream']).partition('.')[0]
        region = _region_of(history.deployment, record['upstream'])
        if homes.get(request_id, region) != region:
            yield Violation('residency', request_id, f'served in {region}')


def check_quarantine(history: History) -> Iterator[Violation]:
    """A request crashes no more than `MAX_CRASHES` upstreams."""
    crashed: dict[str, set[str]] = {}
    for record in history.records:
        if record['event'] == 'crashed':
            upstreams = crashed.setdefault(record['digest'], set())
            upstreams.add(record['upstream'])
    for digest, upstreams in crashed.items():
        if len(upstreams) > MAX_CRASHES:
            yield Violation('quarantine', digest, str(sorted(upstreams)))


def check_no_loop(history: History) -> Iterator[Violation]:
    """A request that was transferred once is not transferred again."""
    for audit in history.audits:
        if audit['message'] != 'request transferred':
            continue
        _, _, path = audit['detail'].partition(' path ')
        if path:
            yield Violation('no_loop', audit['subject'], audit['detail'])


CHECKS: Final = MappingProxyType(
    {
        'at_most_once': check_at_most_once,
        'not_run': check_not_run,
        'whole_answer': check_whole_answer,
        'call_answers': check_call_answers,
        'residency': check_residency,
        'no_loop': check_no_loop,
        'quarantine': check_quarantine,
    }
)


def _region_of(deployment: Deployment, upstream: str) -> str:
    for site in deployment.sites:
        if upstream.startswith(site.data_centre):
            return site.region
    raise KeyError(upstream)
