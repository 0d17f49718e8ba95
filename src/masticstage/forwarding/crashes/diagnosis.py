"""Decides which causes explain crashes.

A complete answer on a cause proves that it is sound, whatever crashes beside it
later.  So causes that were answered are blamed only for what no cause without
an answer explains.  Of the others the narrowest comes first: requests that have
only what is broader still run, and show whether that is sound.
"""

from collections.abc import Iterable, Iterator
from functools import partial
from typing import Final

import attrs

from masticstage.forwarding.crashes.causes import (
    Cause,
    Weight,
    weigh_crashes,
)

#: A cause is quarantined after unexplained crashes of so many upstreams, or of
#: fewer if one alone has crashed so often. An upstream that goes down again and
#: again breaks what is often sent to it, whatever that is.
UPSTREAMS_TO_QUARANTINE: Final = 3
CRASHES_TO_QUARANTINE: Final = 5
#: Crashes of a cause that are no coincidence; one with fewer is no suspect.
RECURRING: Final = 2


@attrs.frozen
class Diagnosis:
    """A cause to quarantine, and its rivals.

    These are causes of all the same crashes, between which nothing but their
    place in the prompt has decided.
    """

    cause: Cause
    rivals: frozenset[Cause] = frozenset()


@attrs.frozen
class Suspect:
    """A cause, the crashes that speak against it, and whether it was answered.

    `diagnosis` is set while it is quarantined.
    """

    cause: Cause
    crashes: frozenset[int]
    is_answered: bool
    diagnosis: Diagnosis | None


def find_outdated(suspects: Iterable[Suspect]) -> Iterator[Cause]:
    """Returns quarantined causes that further evidence speaks for.

    What an instance learns later, by gossip too, may explain the same crashes
    better: a narrower cause of all of them, a rival that is in further ones, or
    for a cause that was answered any that recurs.
    """
    known = list(suspects)
    unanswered = [one for one in known if not one.is_answered]
    recurring = _join(
        one for one in unanswered if len(one.crashes) >= RECURRING
    )
    for suspect in known:
        if suspect.diagnosis is None:
            continue
        if suspect.is_answered:
            is_outdated = not _is_frequent(suspect.crashes - recurring)
        else:
            is_outdated = any(
                _explains_better(other, suspect, suspect.diagnosis)
                for other in unanswered
            )
        if is_outdated:
            yield suspect.cause


def diagnose(suspects: Iterable[Suspect]) -> Iterator[Diagnosis]:
    """Returns what to quarantine besides the causes that are quarantined.

    While several causes have the same crashes, none is chosen, since an answer
    or a further crash soon tells them apart. After enough crashes the narrowest
    is.
    """
    known = list(suspects)
    explained = _join(one for one in known if one.diagnosis)
    open_cases = [one for one in known if not one.diagnosis]
    unanswered = [one for one in open_cases if not one.is_answered]
    for suspect in _choose(unanswered, open_cases, explained):
        explained |= suspect.crashes
        yield _diagnose_one(suspect, unanswered)
    recurring = _join(
        one for one in unanswered if len(one.crashes) >= RECURRING
    )
    answered = [one for one in open_cases if one.is_answered]
    for suspect in _choose(answered, answered, explained | recurring):
        yield _diagnose_one(suspect, answered)


def _diagnose_one(suspect: Suspect, rivals: Iterable[Suspect]) -> Diagnosis:
    return Diagnosis(
        suspect.cause,
        frozenset(
            rival.cause
            for rival in rivals
            if rival is not suspect and rival.crashes == suspect.crashes
        ),
    )


def _explains_better(
    other: Suspect, suspect: Suspect, diagnosis: Diagnosis
) -> bool:
    """Returns whether another cause explains crashes better."""
    if len(suspect.crashes) < CRASHES_TO_QUARANTINE:
        return False
    if other.crashes == suspect.crashes:
        return other.cause.narrowness > suspect.cause.narrowness
    return other.cause in diagnosis.rivals and other.crashes > suspect.crashes


def _choose(
    suspects: Iterable[Suspect],
    others: Iterable[Suspect],
    explained: frozenset[int],
) -> Iterator[Suspect]:
    """Chooses suspects while crashes are left that need explanation.

    `others` may be in the same crashes; the suspects are among them.
    """
    frequent = [one for one in suspects if _is_frequent(one.crashes)]
    frequent_others = [one for one in others if _is_frequent(one.crashes)]
    recurring = [one for one in suspects if len(one.crashes) >= RECURRING]
    while True:
        due = [
            one
            for one in frequent
            if _is_due(one, explained, recurring, frequent_others)
        ]
        if not due:
            return
        chosen = max(due, key=partial(_rank, explained))
        yield chosen
        explained |= chosen.crashes


def _is_due(
    suspect: Suspect,
    explained: frozenset[int],
    recurring: list[Suspect],
    others: list[Suspect],
) -> bool:
    """Returns whether the unexplained crashes suffice for a quarantine.

    Narrower parts that recur may explain the same crashes together. So three
    crashes count only without theirs, and five if more than one is left then.
    The content of a request recurs whenever it is repeated.
    """
    unexplained = suspect.crashes - explained
    without_narrower = [
        unexplained - other.crashes
        for other in recurring
        if other.cause.is_part
        and other.cause.narrowness > suspect.cause.narrowness
        and other.crashes < suspect.crashes
    ]
    apart = unexplained.intersection(*without_narrower)
    if len(unexplained) >= CRASHES_TO_QUARANTINE:
        return len(apart) > 1
    in_all = [
        other
        for other in others
        if other is not suspect and other.crashes >= suspect.crashes
    ]
    return _is_frequent(apart) and (
        not in_all
        or any(len(other.crashes) >= CRASHES_TO_QUARANTINE for other in in_all)
    )


def _is_frequent(crashes: frozenset[int]) -> bool:
    """Returns whether there are enough crashes to blame one cause alone."""
    weight = weigh_crashes(crashes)
    return (
        weight.upstreams >= UPSTREAMS_TO_QUARANTINE
        or weight.crashes >= CRASHES_TO_QUARANTINE
    )


def _rank(
    explained: frozenset[int], suspect: Suspect
) -> tuple[Weight, tuple[bool, int], Cause]:
    """Returns the key by which the greatest is quarantined first."""
    cause = suspect.cause
    weight = weigh_crashes(suspect.crashes - explained)
    return (weight, cause.narrowness, cause)


def _join(suspects: Iterable[Suspect]) -> frozenset[int]:
    """Returns the crashes of all suspects."""
    return frozenset(crash for one in suspects for crash in one.crashes)
