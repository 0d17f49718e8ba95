"""Load pattern: some upstreams fail two of five requests and look healthy.

Each of many instances meets them seldom; together they know within seconds.
"""

from masticstage.forwarding.loads import SharedLoad
from tests.routed import (
    World,
    build_record,
    build_request,
    build_route,
    build_world,
)

_UPSTREAMS = 8
_GREY = 'u0'


def _fleet() -> World:
    world = build_world()
    for number in range(_UPSTREAMS):
        world.add(build_record(f'u{number}'))
    return world


def _run(world: World, name: str, outcomes: int, failed: int) -> None:
    state = world.loads.state(name)
    for number in range(outcomes):
        world.loads.record_outcome(state, is_failure=number < failed)


def _told_by_a_peer() -> tuple[SharedLoad, ...]:
    peer = _fleet()
    _run(peer, _GREY, 5, 2)
    return peer.loads.own_loads()


def _is_grey_avoided(world: World) -> bool:
    for number in range(1, _UPSTREAMS):
        # The others are busier than the grey one.
        world.loads.state(f'u{number}').direct.in_flight = 20
    choice = world.chooser.choose(build_request(), build_route(), 'shop')
    assert choice
    return choice.upstream != _GREY


def test_an_idle_failing_upstream_is_told_of():
    assert [load.upstream for load in _told_by_a_peer()] == [_GREY]


def test_few_own_outcomes_are_not_enough_but_those_of_peers_are():
    world = _fleet()
    _run(world, _GREY, 5, 2)
    assert not _is_grey_avoided(world)

    for number in range(8):
        world.loads.replace_peer_loads(f'peer-{number}', _told_by_a_peer())
    assert _is_grey_avoided(world)


def test_failures_that_are_usual_everywhere_send_nobody_away():
    world = _fleet()
    for number in range(_UPSTREAMS):
        _run(world, f'u{number}', 20, 8)

    assert not _is_grey_avoided(world)
