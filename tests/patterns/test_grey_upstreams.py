"""Load pattern: an upstream fails two of five requests but passes checks.

Each of many instances sends it few requests. With shared outcomes they detect
it within seconds.
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
_FAILING = 'u0'


def _build_fleet() -> World:
    world = build_world()
    for number in range(_UPSTREAMS):
        world.add(build_record(f'u{number}'))
    return world


def _record_outcomes(
    world: World,
    name: str,
    outcomes: int,
    failed: int,
) -> None:
    state = world.loads.state(name)
    for number in range(outcomes):
        world.loads.record_outcome(state, is_failure=number < failed)


def _load_of_a_peer() -> tuple[SharedLoad, ...]:
    peer = _build_fleet()
    _record_outcomes(peer, _FAILING, 5, 2)
    return peer.loads.own_loads()


def _avoids_failing(world: World) -> bool:
    for number in range(1, _UPSTREAMS):
        # The others are busier than the failing one.
        world.loads.state(f'u{number}').direct.in_flight = 20
    choice = world.chooser.choose(build_request(), build_route(), 'shop')
    assert choice
    return choice.upstream != _FAILING


def test_an_idle_failing_upstream_is_reported():
    assert [load.upstream for load in _load_of_a_peer()] == [_FAILING]


def test_outcomes_of_peers_reveal_a_failing_upstream():
    world = _build_fleet()
    _record_outcomes(world, _FAILING, 5, 2)
    assert not _avoids_failing(world)

    for number in range(8):
        world.loads.replace_peer_loads(f'peer-{number}', _load_of_a_peer())
    assert _avoids_failing(world)


def test_a_failure_rate_common_to_all_upstreams_is_ignored():
    world = _build_fleet()
    for number in range(_UPSTREAMS):
        _record_outcomes(world, f'u{number}', 20, 8)

    assert not _avoids_failing(world)
