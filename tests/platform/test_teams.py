"""Tests of decoding the teams of a configuration."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.published import Unreadable
from masticstage.forwarding.routes import RouteTable
from masticstage.forwarding.teams import Team, TeamLimit
from masticstage.platform.records import build_record_decoder

_TEAM = {
    'Name': 'luka',
    'ApiKeys': ['key-1', 'key-2'],
    'Priority': 1,
    'Unit': 'tokens',
    'PlainTokens': 400,
    'RatePerS': 47_000,
    'Burst': 94_000,
    'AllowedRegions': ['north'],
}
_ROUTE = {
    'Name': 'r-1',
    'Host': 'a.example',
    'PathPrefix': '/',
    'Kind': 'safe',
    'TimeoutMs': 5000,
    'Service': 's',
}
_LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 4194304,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}


def _decode(teams, **route):
    fields = {
        'Version': 1,
        'Routes': [_ROUTE | route],
        'Services': [],
        'Limits': _LIMITS,
        'Tenants': teams,
    }
    return build_record_decoder({})('op/config', json.dumps(fields).encode())


def test_a_team_is_decoded_with_its_keys_and_limit():
    teams = _decode([_TEAM]).teams

    expected = Team(
        'luka', 1, frozenset(('north',)), TeamLimit(47_000, 94_000, 400)
    )
    assert teams.find('key-2') == expected
    assert not teams.faults


def test_fields_of_a_team_may_be_missing():
    teams = _decode([{'Name': 'luka', 'ApiKeys': ['k']}]).teams

    assert teams.find('k') == Team('luka')


@pytest.mark.parametrize('teams', [None, []])
def test_a_configuration_without_teams_needs_no_key(teams):
    assert _decode(teams).teams is None


def test_a_route_is_public_only_if_it_says_so():
    assert _decode([_TEAM], Public=True).routes[0].is_public
    for other in (False, None, 'false', 1):
        assert not _decode([_TEAM], Public=other).routes[0].is_public


@pytest.mark.parametrize('rate', [0, None])
def test_a_rate_of_zero_is_no_limit(rate):
    assert _decode([_TEAM | {'RatePerS': rate}]).teams.teams[0].limit is None


def test_other_limits_of_zero_are_kept():
    """Guards against a burst of zero that is taken for no limit."""
    team = _TEAM | {'Burst': 0, 'PlainTokens': 0}

    assert _decode([team]).teams.teams[0].limit == TeamLimit(47_000, 0, 0)


@pytest.mark.parametrize('keys', [None, [], [''], [5], ['a\nb', 'ä', ' k ']])
def test_a_team_without_usable_keys_is_reported_and_the_rest_in_force(keys):
    teams = _decode([_TEAM | {'Name': 'x', 'ApiKeys': keys}, _TEAM]).teams

    assert 'team x has no key' in teams.faults
    assert teams.find('key-1') is teams.find_by_name('luka')


@pytest.mark.parametrize(
    'changes',
    [
        {'Name': 'line\nbreak'},
        {'Name': ''},
        {'ApiKeys': 'secret'},
        {'Priority': -1},
        {'RatePerS': 'much'},
        {'Burst': -1},
        {'AllowedRegions': 'north'},
        {'AllowedRegions': [1]},
    ],
)
def test_a_team_with_a_wrong_field_makes_the_configuration_unreadable(changes):
    decoded = _decode([_TEAM | {'ApiKeys': ['secret']} | changes])

    assert isinstance(decoded, Unreadable)
    assert 'secret' not in repr(decoded)


@given(
    st.sampled_from(sorted(_TEAM)),
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=6,
    ),
)
def test_any_field_of_a_team_gives_a_table_or_a_reason(field, replaced):
    decoded = _decode([_TEAM | {field: replaced}])

    assert isinstance(decoded, (RouteTable, Unreadable))
