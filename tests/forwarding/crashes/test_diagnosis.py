"""Tests of the choice among possible causes."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.crashes.causes import Cause
from masticstage.forwarding.crashes.diagnosis import (
    CRASHES_TO_QUARANTINE,
    RECURRING,
    UPSTREAMS_TO_QUARANTINE,
    Suspect,
    diagnose,
    find_outdated,
)

_CRASHES = st.frozensets(
    st.builds(lambda upstream: upstream << 32 | 1, st.integers(1, 9)),
    min_size=RECURRING,
)


@st.composite
def _draw_suspects(draw):
    """Returns suspects of which each has a depth of its own."""
    return [
        Suspect(
            Cause(is_part=True, digest=digest, depth=depth),
            draw(_CRASHES),
            draw(st.booleans()),
            None,
        )
        for depth, digest in enumerate(draw(st.permutations(range(5))))
    ]


def _places(suspects):
    """Returns the depths of the parts that are chosen."""
    return [found.cause.depth for found in diagnose(suspects)]


def _with_diagnoses(suspects):
    chosen = {found.cause: found for found in diagnose(suspects)}
    return [
        attrs.evolve(one, diagnosis=chosen.get(one.cause)) for one in suspects
    ]


@given(suspects=_draw_suspects(), order=st.randoms())
def test_neither_order_nor_ids_decide(suspects, order):
    """Guards against a choice by what says nothing about the crashes."""
    renamed = [
        attrs.evolve(one, cause=attrs.evolve(one.cause, digest=100 - number))
        for number, one in enumerate(suspects)
    ]
    order.shuffle(renamed)

    assert _places(suspects) == _places(renamed)


@given(suspects=_draw_suspects())
def test_what_is_chosen_has_crashes_enough_of_its_own(suspects):
    least = min(UPSTREAMS_TO_QUARANTINE, CRASHES_TO_QUARANTINE)
    by_depth = {one.cause.depth: one for one in suspects}
    explained = frozenset()
    for depth in _places(suspects):
        assert len(by_depth[depth].crashes - explained) >= least
        explained |= by_depth[depth].crashes


@given(suspects=_draw_suspects())
def test_an_answered_cause_explains_only_what_no_other_recurs_in(suspects):
    """Guards against a quarantine of parts that are known to be sound."""
    recurring = frozenset().union(
        *(one.crashes for one in suspects if not one.is_answered)
    )
    by_depth = {one.cause.depth: one for one in suspects}
    for depth in _places(suspects):
        one = by_depth[depth]
        assert not one.is_answered or one.crashes - recurring


@given(suspects=_draw_suspects())
def test_a_diagnosis_stands_while_nothing_changes(suspects):
    """Guards against quarantines that end and begin again and again."""
    decided = _with_diagnoses(suspects)

    assert not list(diagnose(decided))
    assert not list(find_outdated(decided))
