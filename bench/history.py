"""Histories of callers and upstreams, and the checks over them.

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

#: Upstreams that one request may crash.
MAX_CRASHES: Final = 2


@attrs.frozen
class Observation:
    """What a caller was told about one operation.

    `outcome` is for calls; `text` for model answers, None when not whole.
    """

    operation: Operation
    outcome: Outcome | None = None
    text: str | None = None
    stream_id: str = ''
    body: bytes = b''
    failure: str = ''
    started_s: float = 0
    first_s: float = 0
    ended_s: float = 0
    resumes: int = 0
    restarts: int = 0
    longest_stall_s: float = 0
    sealed_tickets: int = 0


@attrs.frozen
class Violation:
    """A property that did not hold for one operation."""

    name: str
    request_id: str
    detail: str


@attrs.frozen
class History:
    """Everything that was observed in one run."""

    deployment: Deployment
    observations: tuple[Observation, ...]
    records: tuple[dict[str, Any], ...]
    audits: tuple[dict[str, Any], ...] = ()

    def executions(self) -> Counter[str]:
        """Counts the executions of each call."""
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
    """A call of which a caller was told `not_run` was never executed."""
    executions = history.executions()
    for seen in history.observations:
        request_id = seen.operation.request_id
        if seen.outcome is Outcome.NOT_RUN and executions[request_id]:
            yield Violation('not_run', request_id, 'executed all the same')


def check_whole_answer(history: History) -> Iterator[Violation]:
    """A caller that got an answer got the whole one to its own request."""
    for seen in history.observations:
        if seen.text is None:
            continue
        digest = digest_request(seen.operation.encode())
        tokens = seen.operation.body['max_tokens']
        if seen.text != expected_text(digest, seen.stream_id, tokens):
            yield Violation(
                'whole_answer',
                seen.operation.request_id,
                'another text',
            )


def check_call_answers(history: History) -> Iterator[Violation]:
    """A caller whose call ran gets the answer to that very call."""
    for seen in history.observations:
        if seen.outcome is not Outcome.RAN or seen.operation.kind != ONCE:
            continue
        request_id = seen.operation.request_id
        if json.loads(seen.body or b'{}') != {'call': request_id, 'done': True}:
            yield Violation('whole_answer', request_id, str(seen.body))


def check_residency(history: History) -> Iterator[Violation]:
    """A request bound to its home is served in no other region."""
    homes = {
        seen.operation.request_id: seen.operation.region
        for seen in history.observations
        if seen.operation.kind == PRIVATE
    }
    for record in history.records:
        if record['event'] != 'started':
            continue
        request_id = str(record['stream']).partition('.')[0]
        served = _region_of(history.deployment, record['upstream'])
        if homes.get(request_id, served) != served:
            yield Violation('residency', request_id, f'served in {served}')


def check_quarantine(history: History) -> Iterator[Violation]:
    """A request that crashes its upstreams reaches two of them at most."""
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
