"""Tests of the checks of published configurations."""

from returns.pipeline import is_successful

from masticstage.configuration import check_configuration
from tests.builders import build_document, build_team, build_upstream


def find_faults(**changes):
    checked = check_configuration(1, build_document(**changes))
    return {fault.key for fault in checked.failure()}


def test_valid_configuration_has_no_faults():
    assert is_successful(check_configuration(1, build_document()))


def test_all_faults_are_returned():
    teams = [{**build_team('north'), 'home': 'west'}, build_team('south')]
    upstreams = [build_upstream('nowhere'), build_upstream('a', 0, 'none')]
    assert find_faults(teams=teams, upstreams=upstreams) >= {
        'teams.team-north.home',
        'upstreams.nowhere-model-0.data_centre',
        'upstreams.a-none-0.service',
        'services.model.kinds.open',
    }


def test_duplicate_name_is_a_fault():
    upstreams = [*build_document()['upstreams'], build_upstream('a')]
    assert find_faults(upstreams=upstreams) == {'upstreams.a-model-0'}


def test_unknown_key_is_a_fault():
    assert not is_successful(
        check_configuration(1, build_document(surplus=True)),
    )
