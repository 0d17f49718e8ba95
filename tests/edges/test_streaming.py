"""Tests of forwarding a stream: the times of its events, idle streams."""

import socket
import time
from datetime import timedelta
from itertools import count

import pytest
import trio

from masticstage.clock import milliseconds
from masticstage.edges.dispatch_outcome import DispatchOutcome
from masticstage.edges.streaming import (
    IdlePolicy,
    StreamTimes,
    _forward_events,
)
from masticstage.forwarding.events import EventFramer
from masticstage.forwarding.evidence import Evidence
from tests.edges.deployment import run_with_timeout
from tests.forwarding_builders import SECOND


def test_the_longest_pause_is_between_two_events():
    times = StreamTimes()
    for moment in (10, 10.1, 10.5, 10.6):
        times.record(moment * SECOND)

    assert times.first == 10 * SECOND
    assert times.longest_pause == 0.4 * SECOND


def test_a_single_event_has_no_pause():
    times = StreamTimes()
    times.record(10 * SECOND)

    assert times.longest_pause == timedelta()


class _Upstream:
    """A connection that delivers a chunk at regular intervals."""

    def __init__(self, chunks, interval_s):
        self._chunks = iter(chunks)
        self._interval_s = interval_s

    async def read_chunk(self):
        await trio.sleep(self._interval_s)
        return next(self._chunks)


class _Caller:
    """Receives what is forwarded; takes some sends only after a while."""

    def __init__(self, is_slow=False):
        self.received = b''
        self._is_slow = is_slow

    def send_now(self, events):
        self.received += events
        return not self._is_slow

    def hold_partial(self, size):
        """Counts nothing, as there is no bound."""

    async def flush(self):
        await trio.sleep(0.15)


def _forward(chunks, interval_s, caller):
    """Forwards a stream with an idle timeout of 0.1 s; returns its end."""
    reasons = []

    async def may_not_continue():
        return False

    @run_with_timeout
    async def run():
        outcome = DispatchOutcome(
            Evidence.ANSWERED, 'e-1', connection=_Upstream(chunks, interval_s)
        )
        policy = IdlePolicy(
            lambda: milliseconds(100), may_not_continue, lambda: None
        )
        with trio.move_on_after(3):
            reasons.append(
                await _forward_events(outcome, EventFramer(), caller, policy)
            )

    run()
    return reasons


@pytest.mark.parametrize('chunk', [b': ping\n\n', b'data', b':\n'])
def test_a_stream_without_whole_events_is_idle(chunk):
    chunks = (chunk for _ in count())

    assert _forward(chunks, 0.02, _Caller()) == ['idle timeout']


@pytest.mark.parametrize('is_slow', [True, False])
def test_a_slow_but_sound_stream_is_forwarded_to_its_end(is_slow):
    events = [b'id: %d\ndata: x\n\n' % number for number in range(8)]
    caller = _Caller(is_slow)

    assert _forward([*events, b''], 0.06, caller) == ['']
    assert caller.received == b''.join(events)


class _Socket:
    """An upstream whose bytes arrive at a socket."""

    def __init__(self, receiver):
        self._receiver = receiver

    async def read_chunk(self):
        await trio.lowlevel.wait_readable(self._receiver)
        return self._receiver.recv(1000)


class _Flushed(_Caller):
    """Notes whether it could take all that was left of a chunk."""

    def __init__(self):
        super().__init__(is_slow=True)
        self.flushes = 0

    async def flush(self):
        await trio.lowlevel.checkpoint()
        self.flushes += 1


@run_with_timeout
async def test_an_event_at_the_end_of_the_idle_time_is_sent_whole():
    """Guards against a stream that goes on behind a gap.

    The event arrives while the event loop is late, so that it is read in the
    pass in which the stream counts as idle.
    """
    sender, receiver = socket.socketpair()
    caller = _Flushed()

    async def be_late():
        await trio.sleep(0.05)
        sender.send(b'id: 1\ndata: x\n\n')
        time.sleep(0.1)

    async def may_not_continue():
        return False

    with sender, receiver:
        outcome = DispatchOutcome(
            Evidence.ANSWERED, 'e-1', connection=_Socket(receiver)
        )
        policy = IdlePolicy(
            lambda: milliseconds(100), may_not_continue, lambda: None
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(be_late)
            await _forward_events(outcome, EventFramer(), caller, policy)

    assert caller.received == b'id: 1\ndata: x\n\n'
    assert caller.flushes == 1
