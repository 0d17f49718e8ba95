"""Serves one request of a caller from its arrival to its final answer."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final, final

import attrs
import trio

from masticstage.edges.checks import suspect
from masticstage.edges.dispatch import Dispatched, Task, dispatch, occupying
from masticstage.edges.events import (
    Patience,
    StreamTimes,
    is_reachable,
    pass_events,
)
from masticstage.edges.gateway import Gateway
from masticstage.edges.listeners import Reply
from masticstage.exceptions import InvalidRequestError
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.events import EventFramer
from masticstage.forwarding.evidence import AttemptHistory, Evidence
from masticstage.forwarding.requests import CallerRequest
from masticstage.forwarding.timeouts import (
    first_answer_timeout,
    silence_timeout,
)
from masticstage.forwarding.wire import DispatchOptions, RawRequest

_MS: Final = timedelta(milliseconds=1)
#: When to come back while the instance knows no configuration yet: a read of
#: the platform takes less.
_NOT_READY_RETRY: Final = timedelta(milliseconds=400)
#: When to come back after a refusal for want of an upstream.
_REFUSED_RETRY: Final = timedelta(milliseconds=300)
#: When to come back from an instance that is stopping: soon, elsewhere.
_DRAIN_RETRY: Final = timedelta(milliseconds=150)
#: Time after the signal to stop in which new requests are still served;
#: what starts then has the rest of the grace to end in.
_LATE_WORK: Final = timedelta(seconds=3)


@attrs.frozen
class _Refusal:
    """A final answer of our own."""

    status: HTTPStatus
    reason: str
    retry_after: timedelta | None = None


@final
@attrs.define(eq=False)
class _Service:
    """One request while it is being served."""

    gateway: Gateway
    reply: Reply
    task: Task
    deadline: timedelta
    history: AttemptHistory
    framer: EventFramer = attrs.field(factory=EventFramer)
    times: StreamTimes = attrs.field(factory=StreamTimes)
    last_failure: Dispatched | None = None
    reason: str = 'no upstream'
    retry_after: timedelta = _REFUSED_RETRY

    @property
    def remaining(self) -> timedelta:
        """Time left until the caller or the route's limit ends the wait."""
        return self.deadline - self.gateway.clock.elapsed()


async def serve_caller(gateway: Gateway, raw: RawRequest, reply: Reply) -> None:
    """Answers one request of a caller."""
    gateway.activity.open_requests += 1
    try:
        await _serve(gateway, raw, reply)
    finally:
        gateway.activity.open_requests -= 1


async def _serve(gateway: Gateway, raw: RawRequest, reply: Reply) -> None:
    try:
        request = gateway.wire.read_request(raw)
    except InvalidRequestError as error:
        refusal = _Refusal(HTTPStatus.BAD_REQUEST, str(error))
        await _refuse(gateway, reply, '', refusal)
        return
    task = _begin(gateway, request)
    if isinstance(task, _Refusal):
        await _refuse(gateway, reply, request.request_id, task)
        return
    gateway.beliefs.budget.record_request(task.service)
    allowance = min(request.allowance, task.route.limit)
    service = _Service(
        gateway,
        reply,
        task,
        request.arrived + allowance,
        AttemptHistory(task.route),
    )
    try:
        await _run(service)
    except trio.Cancelled:
        _note_end(service, 'caller_left', '')
        raise


def _begin(gateway: Gateway, request: CallerRequest) -> Task | _Refusal:
    """Finds the route of a request, or the reason to refuse it."""
    table = gateway.beliefs.view.table
    if table is None or gateway.pause.is_overdue():
        return _Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no current configuration',
            _NOT_READY_RETRY,
        )
    drain_at = gateway.activity.drain_at
    if drain_at and gateway.clock.elapsed() - drain_at > _LATE_WORK:
        return _Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'stopping',
            _DRAIN_RETRY,
        )
    route = table.find(request.host, request.path)
    if route is None:
        return _Refusal(HTTPStatus.NOT_FOUND, f'no route in {table.version}')
    fingerprint = request.fingerprint()
    if gateway.beliefs.quarantine.contains(fingerprint):
        return _Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'crashed upstreams',
            request.allowance,
        )
    service = route.service_for(request.request_id)
    return Task(request, route, service, fingerprint)


async def _run(service: _Service) -> None:
    """Dispatches until there is an answer or nothing left to try."""
    while True:
        choice = _choose(service)
        if choice is None:
            await _fail(service)
            return
        with occupying(choice):
            ended = await _dispatch(service, choice)
            if await _deliver(service, choice, ended):
                return


def _choose(service: _Service) -> Choice | None:
    """Returns where the request goes next, if it may and can."""
    gateway, history = service.gateway, service.history
    if service.remaining <= timedelta() or not history.may_dispatch():
        return None
    task = service.task
    choice = gateway.beliefs.chooser.choose(
        task.request,
        task.route,
        task.service,
        history.tried,
    )
    if choice is None:
        return None
    if not history.may_have_run and _is_too_late(service, choice):
        return None
    budget = gateway.beliefs.budget
    if history.has_reached_upstream and not budget.try_take(task.service):
        service.reason = 'budget of repeats is used up'
        return None
    return choice


def _is_too_late(service: _Service, choice: Choice) -> bool:
    """Tells whether a request is refused for its predicted wait."""
    task, overload = service.task, service.gateway.beliefs.overload
    table = service.gateway.beliefs.view.table
    predicted = timedelta(seconds=choice.expected_s)
    if table is None:
        return False
    longest = overload.longest_wait(
        table,
        task.route,
        task.fingerprint,
        service.remaining,
    )
    if predicted <= longest:
        return False
    service.reason = f'expected in {choice.expected_s:.2f} s'
    service.retry_after = overload.reserve_retry(
        task.fingerprint,
        task.route,
        predicted,
    )
    return True


async def _dispatch(service: _Service, choice: Choice) -> Dispatched:
    gateway, task = service.gateway, service.task
    place = choice.candidate
    if place.via is None and gateway.beliefs.chooser.is_cold(place.known):
        gateway.beliefs.chooser.record_cold_dispatch(choice)
    order = DispatchOptions(
        choice.upstream,
        service.remaining - gateway.beliefs.chooser.one_way_delay(place),
        task.route.priority,
        service.framer.last_id,
        choice.fetch_from,
    )
    bound = first_answer_timeout(
        task.route,
        service.history,
        choice.expected_s,
        service.remaining,
    )
    tried = frozenset(service.history.tried)
    ended = await dispatch(
        gateway,
        attrs.evolve(task, tried=tried),
        choice,
        order,
        service.framer,
        bound,
    )
    service.history.record(ended.upstream, ended.evidence)
    service.history.tried.add(choice.upstream)
    suspect(gateway, task, choice, ended)
    return ended


async def _deliver(
    service: _Service,
    choice: Choice,
    ended: Dispatched,
) -> bool:
    """Passes an answer on; False when the request has to go elsewhere."""
    if ended.evidence is Evidence.ANSWERED:
        if ended.connection is None and not service.reply.is_started:
            await _send_whole(service, ended)
            return True
        try:
            return await _pass_stream(service, choice, ended)
        finally:
            ended.close()
    if ended.evidence is Evidence.FAILED:
        service.last_failure = ended
    return False


async def _send_whole(service: _Service, ended: Dispatched) -> None:
    if ended.head is None:
        raise AssertionError('an answer has a head')
    await service.reply.whole(ended.head.status, ended.head.headers, ended.body)
    _note_end(service, 'answered', ended.upstream)


async def _pass_stream(
    service: _Service,
    choice: Choice,
    ended: Dispatched,
) -> bool:
    """Passes the events of an open stream on until its end or a break."""
    reply = service.reply
    if ended.head is None:
        raise AssertionError('an answer has a head')
    patience = _patience(service, choice)
    patience.note()
    if reply.is_started:
        await reply.send(ended.body)
    else:
        await reply.start(ended.head.status, ended.head.headers, ended.body)
    reason = await pass_events(
        ended,
        service.framer,
        reply,
        patience,
    )
    if not reason:
        await reply.finish()
        _note_end(service, 'answered', ended.upstream)
        ended.release()
        return True
    ended.close()
    service.gateway.log.record(
        'stream_broken',
        service.task.request.request_id,
        upstream=ended.upstream,
        last_event=service.framer.last_id,
        reason=reason,
    )
    broken = Dispatched(Evidence.MAY_HAVE_RUN, ended.upstream, reason)
    suspect(service.gateway, service.task, choice, broken)
    return False


def _patience(service: _Service, choice: Choice) -> Patience:
    """Waits for a silent stream as long as its upstream lives."""

    async def goes_on() -> bool:
        if service.remaining <= timedelta():
            return False
        return await is_reachable(service.gateway, choice)

    return Patience(
        lambda: silence_timeout(
            service.task.route,
            service.history,
            service.remaining,
        ),
        goes_on,
        lambda: service.times.note(service.gateway.clock.elapsed()),
    )


async def _fail(service: _Service) -> None:
    """Ends a request that has no complete answer."""
    if service.reply.is_started:
        # The connection is closed without the end of the answer.
        _note_end(service, 'broken_off', '')
        return
    if service.last_failure is not None:
        await _send_whole(service, service.last_failure)
        return
    request_id = service.task.request.request_id
    await _refuse(service.gateway, service.reply, request_id, _verdict(service))
    _note_end(service, 'gave_up', '')


def _verdict(service: _Service) -> _Refusal:
    """Returns the final answer: `not run` only where that is proved."""
    if not service.history.may_have_run:
        return _Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            service.reason,
            service.retry_after,
        )
    if service.remaining <= timedelta():
        return _Refusal(HTTPStatus.GATEWAY_TIMEOUT, 'time limit')
    return _Refusal(HTTPStatus.BAD_GATEWAY, 'the outcome is unknown')


async def _refuse(
    gateway: Gateway,
    reply: Reply,
    request_id: str,
    refusal: _Refusal,
) -> None:
    gateway.log.record(
        'refused',
        request_id,
        status=refusal.status.value,
        reason=refusal.reason,
        revision=gateway.beliefs.image.revision,
    )
    gateway.metrics.count(f'refused_{refusal.status.value}')
    headers = gateway.wire.refusal_headers(request_id, refusal.retry_after)
    body = f'{refusal.reason}\n'.encode()
    await reply.whole(refusal.status.value, headers, body)


def _note_end(service: _Service, outcome: str, upstream: str) -> None:
    gateway, request = service.gateway, service.task.request
    took = gateway.clock.elapsed() - request.arrived
    gateway.count(service.task.route.kind, outcome)
    gateway.metrics.record(f'{service.task.route.kind.value}.total', took)
    gateway.log.record(
        outcome,
        request.request_id,
        upstream=upstream,
        took_ms=took // _MS,
        **_stream_times(service),
    )


def _stream_times(service: _Service) -> dict[str, int]:
    """Returns what decides whether a stream was on time, in milliseconds."""
    times, metrics = service.times, service.gateway.metrics
    if times.first is None:
        return {}
    first = times.first - service.task.request.arrived
    metrics.record('streaming.first', first)
    metrics.record('streaming.longest_pause', times.longest_pause)
    return {
        'first_ms': first // _MS,
        'longest_pause_ms': times.longest_pause // _MS,
    }
