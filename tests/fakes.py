"""Fakes at the interfaces of an instance: peers, upstreams and platform."""

from contextlib import asynccontextmanager
from random import Random

import attrs
import trio

from masticstage import peer_pb2 as pb
from masticstage.clock import ManualClock
from masticstage.composition.instances import build_instance
from masticstage.exceptions import PeerUnreachableError, UpstreamRefusedError
from masticstage.instance import Connections, Instance
from masticstage.membership import Liveness, Member
from masticstage.outcomes import Answer
from masticstage.rollout import Offer
from masticstage.settings_schema import (
    InstanceSettings,
    PlatformSettings,
    Settings,
    TokenSettings,
)
from masticstage.upstream_table import LoadReport
from tests.builders import build_document, build_member

SECRET = 'a-secret-for-tests'


@attrs.define
class FakeUpstreams:
    """Upstreams that replay scripts and record how they were called.

    Each of `starts` and `resumes` is a script: the chunks of a stream, or
    errors to raise; `answers` are bodies or errors. `resumed` has the index
    after which each stream was resumed; the other lists have the names of
    upstreams. A resumption without a script is refused.
    """

    starts: list = attrs.field(factory=list)
    resumes: list = attrs.field(factory=list)
    answers: list = attrs.field(factory=list)
    started: list = attrs.field(factory=list)
    resumed: list = attrs.field(factory=list)
    cancelled: list = attrs.field(factory=list)
    called: list = attrs.field(factory=list)

    @asynccontextmanager
    async def start_stream(self, upstream, request, stream_id, rank):
        self.started.append(upstream.name)
        yield _replay(self.starts.pop(0))

    @asynccontextmanager
    async def resume_stream(self, upstream, stream_id, after):
        self.resumed.append(after)
        if not self.resumes:
            raise UpstreamRefusedError(upstream.name)
        yield _replay(self.resumes.pop(0))

    async def cancel_stream(self, upstream, stream_id):
        self.cancelled.append(upstream.name)

    async def call(self, upstream, request, timeout, headers):
        self.called.append(upstream.name)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return Answer(200, 'application/json', answer)


async def _replay(script):
    for step in script:
        await trio.lowlevel.checkpoint()
        if isinstance(step, Exception):
            raise step
        yield step


@attrs.define
class FakePeers:
    """Peers with fixed replies; without a reply they are unreachable."""

    intend_verdict: int | None = None
    ask_reply: pb.WitnessReply | None = None
    chunks: list = attrs.field(factory=list)
    relayed: list = attrs.field(factory=list)
    exchanged: list = attrs.field(factory=list)
    copied: list = attrs.field(factory=list)

    async def exchange(self, address, gossip):
        self.exchanged.append(gossip)
        raise PeerUnreachableError(address)

    async def intend(self, address, ticket):
        if self.intend_verdict is None:
            raise PeerUnreachableError(address)
        return pb.WitnessReply(verdict=self.intend_verdict)

    async def ask(self, address, ticket):
        if self.ask_reply is None:
            raise PeerUnreachableError(address)
        return self.ask_reply

    async def copy_outcome(self, address, ticket, outcome):
        self.copied.append(outcome)
        return pb.WitnessReply()

    async def relay(self, address, message):
        self.relayed.append(message)
        for chunk in self.chunks:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk


def build_test_instance(nursery: trio.Nursery, document: dict) -> Instance:
    """Returns an instance in data centre `a` with fake connections."""
    settings = Settings(
        InstanceSettings('a-0', 'a', 'north', '127.0.0.1:1', '127.0.0.1:2'),
        PlatformSettings('http://127.0.0.1:3'),
        TokenSettings((SECRET,)),
    )
    instance = build_instance(settings, ManualClock(), nursery)
    instance = attrs.evolve(
        instance,
        random=Random(1),
        connections=Connections(FakePeers(), FakeUpstreams(), None),
    )
    instance.views.rollout.offer(Offer(1, document))
    return instance


def add_member(
    instance: Instance,
    name: str,
    data_centre: str = 'a',
    incarnation: int = 1,
) -> Member:
    """Adds a live instance to the member table of an instance."""
    member = build_member(
        name,
        incarnation=incarnation,
        data_centre=data_centre,
        liveness=Liveness.LIVE,
    )
    instance.views.members.merge([member])
    return member


def report_leaving(instance: Instance, upstream: str) -> None:
    """Merges a report that an upstream is leaving."""
    report = LoadReport(upstream, 1, 1, 0, 0, leaving=True)
    instance.views.upstreams.merge([report])


def run_with_instance(test) -> None:
    """Runs a test coroutine with an instance; fails after ten seconds."""

    async def run():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                instance = build_test_instance(nursery, build_document())
                await test(instance)
                nursery.cancel_scope.cancel()

    trio.run(run)
