"""Tests of choosing partners of gossip and of matching their answers."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.partners import OpenQuestions, PartnerCycle
from tests.forwarding_builders import build_member


def _build_peers(count):
    return [build_member(f'm-{number}') for number in range(count)]


def _names(partners):
    return [partner.identity.name for partner in partners]


def test_no_partner_without_peers():
    assert not PartnerCycle(Random(1)).next_partners([])


@given(st.integers(1, 300), st.integers(0, 99))
def test_the_cost_of_a_round_is_bounded(count, seed):
    partners = PartnerCycle(Random(seed)).next_partners(_build_peers(count))

    assert 1 <= len(partners) <= 3
    assert len(set(_names(partners))) == len(partners)


@given(
    st.lists(st.sets(st.integers(0, 30), min_size=1), min_size=1, max_size=9),
)
def test_partners_are_known_peers_while_peers_come_and_go(rounds):
    cycle = PartnerCycle(Random(1))
    for numbers in rounds:
        peers = [build_member(f'm-{number}') for number in sorted(numbers)]
        assert set(_names(cycle.next_partners(peers))) <= set(_names(peers))


def test_an_answer_closes_its_question_once():
    questions = OpenQuestions()
    member = build_member('m-1')
    number = questions.ask(member, 10)

    assert questions.close(number).member is member
    assert questions.close(number) is None
    assert questions.close(0) is None


def test_an_overdue_question_is_reported_once():
    questions = OpenQuestions()
    early, late = build_member('early'), build_member('late')
    questions.ask(early, 10)
    number = questions.ask(late, 11)

    assert questions.take_overdue(10.5) == [early]
    assert not questions.take_overdue(10.5)
    assert questions.close(number).member is late


def test_numbers_start_again_when_they_are_used_up():
    questions = OpenQuestions(last_number=0xFFFFFFFF)

    assert questions.ask(build_member('m-1'), 1) == 1
