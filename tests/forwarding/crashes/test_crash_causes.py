"""Tests of finding what the requests that crash upstreams have in common."""

from datetime import timedelta
from itertools import permutations
from random import Random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.clock import ManualClock
from masticstage.forwarding.crashes.causes import (
    Cause,
    identify_crash,
    possible_causes,
)
from masticstage.forwarding.crashes.crash_causes import (
    _CAPACITY,
    _MAX_REPORTS,
    CauseReport,
    CrashCauses,
)
from masticstage.forwarding.crashes.diagnosis import (
    CRASHES_TO_QUARANTINE,
    UPSTREAMS_TO_QUARANTINE,
)
from masticstage.forwarding.crashes.evidence import MAX_CRASHES
from tests.forwarding_builders import (
    SECOND,
    build_prompt,
    build_record,
    build_request,
)

_DEADLY = Cause(is_part=True, digest=1)
_COMMON = Cause(is_part=True, digest=2)
_HOUR = timedelta(hours=1)


def _request_cause(number):
    return Cause(is_part=False, digest=1000 + number)


def _crash_of(upstream, run=0):
    return upstream << 32 | run


def _report(cause, *upstreams, age_s=0):
    crashes = frozenset(map(_crash_of, upstreams))
    return CauseReport(cause, crashes, frozenset(), age_s)


@attrs.frozen
class _Evidence:
    """The evidence of an instance, with its clock."""

    clock: ManualClock
    causes: CrashCauses

    def crash(self, *numbers, causes):
        """Records a crash of each upstream; returns what that quarantines."""
        return [
            cause
            for number in numbers
            for cause in self.causes.record_crash(_crash_of(number), causes)
        ]


def _build_evidence():
    clock = ManualClock()
    clock.advance(SECOND)
    return _Evidence(clock, CrashCauses(clock, Random(1)))


def test_a_part_of_different_requests_is_quarantined():
    """Guards against blame that falls only on requests as a whole."""
    evidence = _build_evidence()
    for crash in range(UPSTREAMS_TO_QUARANTINE):
        assert not evidence.causes.quarantined()
        causes = frozenset((_DEADLY, _request_cause(crash)))
        evidence.crash(crash, causes=causes)

    assert evidence.causes.quarantined() == [_DEADLY]
    assert evidence.causes.find_quarantined((_request_cause(9), _DEADLY))
    assert not evidence.causes.find_quarantined((_request_cause(1), _COMMON))


def test_a_part_of_sound_requests_is_not_quarantined():
    evidence = _build_evidence()
    for crash in range(9):
        evidence.crash(crash, causes=frozenset((_COMMON,)))
        evidence.causes.record_answer(frozenset((_COMMON,)))

    assert not evidence.causes.quarantined()


def test_a_finding_names_the_causes_of_the_same_crashes():
    evidence = _build_evidence()
    evidence.causes.record_answer(frozenset((_COMMON,)))
    evidence.clock.advance(5 * SECOND)
    evidence.crash(1, 2, causes=frozenset((_DEADLY, _COMMON)))
    evidence.crash(3, causes=frozenset((_COMMON,)))

    common = evidence.causes.describe(_COMMON)
    assert (common.crashes, common.upstreams, common.rivals) == (3, 3, ())
    assert common.answered_age_s == 5
    deadly = evidence.causes.describe(_DEADLY)
    assert (deadly.crashes, deadly.rivals) == (2, (_COMMON,))
    assert deadly.answered_age_s is None


def test_one_crash_counts_once():
    evidence = _build_evidence()

    assert not evidence.crash(*[7] * 9, causes=frozenset((_DEADLY,)))


def test_of_equal_causes_none_is_quarantined_until_one_is_cleared():
    """Guards against a common part that takes the blame of the deadly one."""
    evidence = _build_evidence()
    common = Cause(is_part=True, digest=_DEADLY.digest + 1)

    assert not evidence.crash(1, 2, 3, causes=frozenset((_DEADLY, common)))
    assert evidence.causes.record_answer(frozenset((common,))) == [_DEADLY]


def test_of_equal_causes_the_one_in_a_further_crash_is_quarantined():
    evidence = _build_evidence()
    evidence.crash(1, 2, 3, causes=frozenset((_DEADLY, _COMMON)))

    assert evidence.crash(4, causes=frozenset((_DEADLY,))) == [_DEADLY]


def test_of_equal_causes_the_content_of_a_request_is_quarantined_at_last():
    evidence = _build_evidence()
    causes = frozenset((_DEADLY, _COMMON, _request_cause(1)))
    upstreams = range(CRASHES_TO_QUARANTINE)

    assert evidence.crash(*upstreams, causes=causes) == [_request_cause(1)]


@pytest.mark.parametrize('digests', list(permutations((1, 5, 9))))
@pytest.mark.parametrize('before', [1, 2])
def test_of_equal_parts_the_last_is_quarantined(before, digests):
    """Guards against a choice by ids, which refuses all sound prompts.

    None of the parts was ever answered.
    """
    evidence = _build_evidence()
    parts = [
        Cause(is_part=True, digest=digest, depth=depth)
        for depth, digest in enumerate(digests[: before + 1])
    ]
    for crash in range(CRASHES_TO_QUARANTINE):
        causes = frozenset((*parts, _request_cause(crash)))
        evidence.crash(crash, causes=causes)

    assert evidence.causes.quarantined() == parts[-1:]


def _part(digest, depth):
    return Cause(is_part=True, digest=digest, depth=depth)


def test_a_quarantine_passes_to_a_rival_that_is_in_a_further_crash():
    """Guards against a wrong choice among equals that is never reviewed.

    The deadly part comes before the one that was chosen, which some crash has
    while it is quarantined.
    """
    evidence = _build_evidence()
    first, deadly, last = _part(3, 0), _part(2, 1), _part(1, 2)
    everything = frozenset((first, deadly, last))
    evidence.crash(1, 2, 3, 4, 5, causes=everything)
    evidence.crash(6, causes=everything)
    assert evidence.causes.quarantined() == [last]

    behind = frozenset((first, deadly, _part(4, 2)))
    assert evidence.crash(7, causes=behind) == [deadly]
    assert evidence.causes.quarantined() == [deadly]
    assert evidence.causes.collect_ended() == [last]


def test_a_choice_from_less_evidence_ends_with_the_rest_of_it():
    """Guards against a quarantine that only some instances have."""
    evidence = _build_evidence()
    first, deadly = _part(9, 0), _part(1, 1)
    evidence.causes.learn([_report(first, 1, 2, 3, 4, 5), _report(deadly, 1)])
    assert evidence.causes.quarantined() == [first]

    assert evidence.causes.learn([_report(deadly, 1, 2, 3, 4, 5)]) == [deadly]
    assert evidence.causes.quarantined() == [deadly]


def test_a_quarantine_ends_if_a_peer_saw_an_earlier_answer():
    """Guards against refusals at an instance that has seen no answer."""
    evidence = _build_evidence()
    beside = [_report(_DEADLY, 1, 2, 3)]
    evidence.causes.learn([_report(_COMMON, 1, 2, 3, 4), *beside])
    assert evidence.causes.quarantined() == [_COMMON]

    answered = attrs.evolve(_report(_COMMON, 1, 2, 3, 4), answered_age_s=9)
    evidence.causes.learn([answered])
    assert not evidence.causes.find_quarantined((_COMMON,))
    assert evidence.causes.learn([_report(_DEADLY, 4, 5)]) == [_DEADLY]


def test_a_quarantined_cause_explains_crashes_of_other_causes():
    evidence = _build_evidence()
    evidence.crash(1, 2, 3, causes=frozenset((_DEADLY,)))
    bystander = frozenset((_COMMON,))
    evidence.causes.learn([_report(_COMMON, 1, 2, 3)])
    evidence.crash(4, causes=bystander | {_DEADLY})

    assert evidence.causes.quarantined() == [_DEADLY]
    assert not evidence.crash(5, 6, causes=bystander)
    assert evidence.crash(7, causes=bystander) == [_COMMON]


def test_a_complete_answer_ends_a_quarantine_everywhere():
    first, second = _build_evidence(), _build_evidence()
    first.crash(1, 2, 3, causes=frozenset((_COMMON,)))
    second.causes.learn(first.causes.reports())
    assert second.causes.quarantined()

    assert not first.causes.record_answer(frozenset((_COMMON,)))
    second.causes.learn(first.causes.reports())

    assert not first.causes.quarantined()
    assert not second.causes.quarantined()


@pytest.mark.parametrize('is_cleared', [True, False])
def test_an_instance_that_comes_back_from_a_cut_ends_its_quarantine(is_cleared):
    """Guards against refusals for an hour where the answer was missed.

    It was complete after the crashes, or already before them.
    """
    cut_off, other = _build_evidence(), _build_evidence()
    if not is_cleared:
        other.causes.record_answer(frozenset((_COMMON,)))
    for side in (cut_off, other):
        side.clock.advance(10 * SECOND)
        side.crash(1, 2, 3, 4, 5, causes=frozenset((_COMMON, _DEADLY)))
    if is_cleared:
        other.causes.record_answer(frozenset((_COMMON,)))
    assert cut_off.causes.quarantined() == [_COMMON]
    for side in (cut_off, other):
        side.clock.advance(40 * SECOND)

    other.causes.learn(cut_off.causes.reports())
    cut_off.causes.learn(other.causes.reports())

    assert cut_off.causes.quarantined() == [_DEADLY]
    assert other.causes.quarantined() == [_DEADLY]


def test_an_answer_clears_crashes_until_a_moment_after_it():
    """The crashes are seen by another instance."""
    evidence = _build_evidence()
    evidence.clock.advance(SECOND)
    evidence.causes.record_answer(frozenset((_COMMON,)))
    evidence.clock.advance(1.5 * SECOND)
    soon = _report(_COMMON, 1, 2, 3, age_s=0.1)
    evidence.causes.learn([soon])
    assert not evidence.causes.quarantined()

    evidence.clock.advance(SECOND)
    later = _report(_COMMON, 4, 5, 6, age_s=0.1)
    assert evidence.causes.learn([later]) == [_COMMON]


def test_crashes_within_a_second_are_not_blamed_on_what_all_prompts_share():
    """Guards against a refusal of all prompts with the common part."""
    evidence = _build_evidence()
    evidence.causes.record_answer(frozenset((_COMMON,)))

    causes = frozenset((_COMMON, _DEADLY))
    assert evidence.crash(1, 2, 3, causes=causes) == [_DEADLY]
    assert not evidence.causes.find_quarantined((_COMMON,))


@pytest.mark.parametrize('first_digest', [0, 9])
def test_a_part_that_was_answered_before_a_pause_is_not_quarantined(
    first_digest,
):
    """Guards against a pause in which sound prompts lose their first part.

    All crashes have the first part and the deadly one, with ids in either
    order.
    """
    evidence = _build_evidence()
    first = Cause(is_part=True, digest=first_digest)
    evidence.causes.record_answer(frozenset((first, _request_cause(0))))
    evidence.clock.advance(10 * SECOND)
    for crash in range(CRASHES_TO_QUARANTINE):
        causes = frozenset((first, _DEADLY, _request_cause(crash)))
        evidence.crash(crash, causes=causes)

    assert evidence.causes.quarantined() == [_DEADLY]


def test_answers_that_a_peer_saw_speak_for_a_part():
    """Guards against refusals of a sound part at an instance that is new."""
    fresh, old = _build_evidence(), _build_evidence()
    old.causes.record_answer(frozenset((_COMMON,)))
    for side in (fresh, old):
        side.clock.advance(10 * SECOND)
    beside = frozenset((_COMMON, _DEADLY))
    fresh.crash(1, 2, 3, 4, causes=beside)
    assert not fresh.causes.quarantined()
    old.crash(5, causes=beside)

    assert old.causes.learn(fresh.causes.reports()) == [_DEADLY]
    assert fresh.causes.learn(old.causes.reports()) == [_DEADLY]


def test_the_age_of_an_answer_does_not_shrink_on_its_way():
    """Guards against answers that seem later than the crash after them."""
    first, second = _build_evidence(), _build_evidence()
    first.causes.record_answer(frozenset((_COMMON,)))
    for side in (first, second):
        side.clock.advance(10 * SECOND)
    second.crash(1, 2, 3, 4, 5, causes=frozenset((_COMMON,)))
    for _ in range(9):
        news = second.causes.reports()
        for side in (first, second):
            side.clock.advance(SECOND)
        first.causes.learn(news)
        second.causes.learn(first.causes.reports())

    assert second.causes.quarantined() == [_COMMON]


def test_many_answers_do_not_displace_one_that_is_repeated():
    """Guards against contents of requests that displace a common part."""
    evidence = _build_evidence()
    for _ in range(2):
        evidence.causes.record_answer(frozenset((_COMMON,)))
    for number in range(2 * _CAPACITY):
        evidence.causes.record_answer(frozenset((_request_cause(number),)))
    evidence.clock.advance(10 * SECOND)

    beside = frozenset((_COMMON, _DEADLY))
    assert evidence.crash(1, 2, 3, 4, 5, causes=beside) == [_DEADLY]


def test_a_part_that_turns_deadly_is_quarantined_soon():
    evidence = _build_evidence()
    evidence.causes.record_answer(frozenset((_COMMON,)))
    for crash in range(6):
        evidence.crash(crash, causes=frozenset((_COMMON,)))
        evidence.clock.advance(SECOND)

    assert evidence.causes.quarantined() == [_COMMON]


@pytest.mark.parametrize('is_learnt', [True, False])
def test_evidence_expires_an_hour_after_the_last_crash(is_learnt):
    evidence, other = _build_evidence(), _build_evidence()
    evidence.crash(1, 2, 3, causes=frozenset((_DEADLY,)))
    if is_learnt:
        evidence.clock.advance(_HOUR / 2)
        other.causes.learn(evidence.causes.reports())
        other.clock.advance(_HOUR / 2)
        evidence = other
    else:
        evidence.clock.advance(_HOUR)

    assert not evidence.causes.quarantined()
    assert not evidence.causes.reports()
    assert not evidence.crash(4, 5, causes=frozenset((_DEADLY,)))


def test_a_fresh_instance_learns_what_is_quarantined():
    evidence, fresh = _build_evidence(), _build_evidence()
    evidence.crash(1, 2, 3, causes=frozenset((_DEADLY,)))
    evidence.clock.advance(_HOUR / 2)

    assert fresh.causes.learn(evidence.causes.reports()) == [_DEADLY]


def test_tables_and_messages_are_bounded_with_the_strongest_causes_kept():
    evidence = _build_evidence()
    deadly = frozenset((_DEADLY,))
    evidence.crash(1, 2, 3, causes=deadly)
    for number in range(2 * _CAPACITY):
        evidence.crash(number, causes=frozenset((_request_cause(number),)))
    evidence.crash(*range(4 * MAX_CRASHES), causes=deadly)

    reports = evidence.causes.reports()
    assert len(evidence.causes._evidence) == _CAPACITY
    assert len(reports) == _MAX_REPORTS
    assert reports[0].cause == _DEADLY
    assert len(reports[0].uncleared) == MAX_CRASHES


def test_causes_of_a_request_are_its_content_and_all_parts_but_the_last():
    request = build_request(prompt=build_prompt('a1'))
    causes = possible_causes(request, request.fingerprint())

    assert {cause.digest for cause in causes if cause.is_part} == {0xA1}
    assert {cause.depth for cause in causes} == {0}
    assert sum(not cause.is_part for cause in causes) == 1


def test_an_upstream_with_a_new_name_at_its_address_crashes_again():
    """Guards against blame for an upstream that goes down and up in turns."""
    evidence = _build_evidence()
    crashes = [
        identify_crash(build_record(f'u-{run}'))
        for run in range(CRASHES_TO_QUARANTINE)
    ]
    for crash in crashes:
        assert not evidence.causes.quarantined()
        evidence.causes.record_crash(crash, frozenset((_COMMON,)))

    assert len(set(crashes)) == CRASHES_TO_QUARANTINE
    assert evidence.causes.quarantined() == [_COMMON]


def test_a_restart_under_the_same_name_is_another_run():
    first, second = (
        identify_crash(build_record(started_at_ms=started))
        for started in (1, 2)
    )

    assert first != second


_CAUSES = st.sampled_from([_DEADLY, _COMMON, _request_cause(1)])
_CRASH_SETS = st.frozensets(st.integers(1, 4).map(_crash_of), max_size=3)
_REPORTS = st.lists(
    st.builds(CauseReport, _CAUSES, _CRASH_SETS, _CRASH_SETS, st.just(0.5)),
    max_size=6,
)


@given(reports=_REPORTS, order=st.randoms())
def test_the_order_and_repetition_of_reports_do_not_matter(reports, order):
    """What is known of each cause; ties may be decided either way."""
    first, second = _build_evidence(), _build_evidence()
    shuffled = [*reports, *reports]
    order.shuffle(shuffled)
    first.causes.learn(reports)
    for report in shuffled:
        second.causes.learn([report])

    known = [
        {cause: found.crashes for cause, found in side.causes._evidence.items()}
        for side in (first, second)
    ]
    assert known[0] == known[1]
