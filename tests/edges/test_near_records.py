"""Tests of where an instance fetches missing records."""

import pytest
import trio
from trio.testing import MockClock

from masticstage import peer_pb2 as pb
from masticstage.clock import ManualClock
from masticstage.composition.gateways import build_gateway
from masticstage.edges import gossip
from masticstage.forwarding.record_cache import RecordUpdates
from tests.edges.deployment import build_entry_settings
from tests.forwarding_builders import build_member


def _fetch(monkeypatch, members, own_revision, near_revision=0):
    """Hears of revision 7 from a far peer twice, of another after 0.2 s.

    Returns the addresses that were asked, and when.
    """
    asked = []

    async def post(_gateway, address, *_):
        await trio.lowlevel.checkpoint()
        asked.append((address, round(trio.current_time(), 2)))

    async def run():
        settings = build_entry_settings(*['127.0.0.1:1'] * 5)
        async with trio.open_nursery() as nursery:
            gateway = build_gateway(settings, ManualClock(), nursery)
            gateway.views.members.merge(members)
            records = gateway.views.records
            records.apply(RecordUpdates((), own_revision, is_snapshot=True))
            far = pb.FleetExchange(published_revision=7)
            far.sender.name = 'far'
            for _ in range(2):
                nursery.start_soon(
                    gossip._fetch_missing_records, gateway, 'far:1', far
                )
            await trio.sleep(0.2)
            records.apply(RecordUpdates((), near_revision, is_snapshot=True))

    monkeypatch.setattr(gossip, 'post_message', post)
    trio.run(run, clock=MockClock(autojump_threshold=0))
    return asked


_FAR = build_member('far', 'south')
_NEAR = build_member('near')


def test_records_that_a_near_peer_provides_are_not_fetched_from_afar(
    monkeypatch,
):
    """Guards against all instances of a region fetching from another one."""
    assert not _fetch(monkeypatch, (_FAR, _NEAR), 3, near_revision=7)


def test_records_that_nobody_near_has_are_fetched_from_afar(monkeypatch):
    """Guards against a region that is cut off from the store and stays so."""
    assert _fetch(monkeypatch, (_FAR, _NEAR), 3) == [('far:1', 0.5)]


@pytest.mark.parametrize(
    ('members', 'own_revision'), [((_FAR,), 3), ((_FAR, _NEAR), 0)]
)
def test_an_instance_that_cannot_gain_does_not_wait(
    monkeypatch, members, own_revision
):
    """Guards against late starts, and waits for peers that aren't there."""
    assert _fetch(monkeypatch, members, own_revision) == [('far:1', 0)]
