"""Load pattern: an upstream fails two of five requests but passes checks.

Each of many instances sends it few requests. With shared outcomes they detect
it within seconds.
"""

from masticstage.forwarding.loads import SharedLoad
from tests.forwarding_builders import (
    SimulatedInstance,
    build_record,
    build_request,
    build_route,
    build_simulated_instance,
)

_UPSTREAMS = 8
_FAILING = 'u0'


def _build_fleet() -> SimulatedInstance:
    instance = build_simulated_instance()
    for number in range(_UPSTREAMS):
        instance.add_upstream(build_record(f'u{number}'))
    return instance


def _record_outcomes(
    instance: SimulatedInstance,
    name: str,
    outcomes: int,
    failed: int,
) -> None:
    state = instance.loads.state(name)
    for number in range(outcomes):
        instance.loads.record_outcome(state, is_failure=number < failed)


def _load_of_a_peer() -> tuple[SharedLoad, ...]:
    peer = _build_fleet()
    _record_outcomes(peer, _FAILING, 5, 2)
    return peer.loads.own_loads()


def _avoids_failing(instance: SimulatedInstance) -> bool:
    for number in range(1, _UPSTREAMS):
        # The others are busier than the failing one.
        instance.loads.state(f'u{number}').direct.in_flight = 20
    choice = instance.chooser.choose(build_request(), build_route(), 'shop')
    assert choice
    return choice.upstream != _FAILING


def test_an_idle_failing_upstream_is_reported():
    assert [load.upstream for load in _load_of_a_peer()] == [_FAILING]


def test_outcomes_of_peers_reveal_a_failing_upstream():
    instance = _build_fleet()
    _record_outcomes(instance, _FAILING, 5, 2)
    assert not _avoids_failing(instance)

    for number in range(8):
        instance.loads.replace_peer_loads(f'peer-{number}', _load_of_a_peer())
    assert _avoids_failing(instance)


def test_a_failure_rate_common_to_all_upstreams_is_ignored():
    instance = _build_fleet()
    for number in range(_UPSTREAMS):
        _record_outcomes(instance, f'u{number}', 20, 8)

    assert not _avoids_failing(instance)
