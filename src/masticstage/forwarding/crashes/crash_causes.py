"""Finds what the requests that crash upstreams have in common.

A crash is evidence against each request that was running on the upstream: its
content, and each part of its prompt that other requests share.  A complete
answer, before a crash or after it, is evidence for the same.  All instances
merge their evidence, in any order; each decides for itself what to quarantine,
and again with each change.
"""

from collections.abc import Iterable, Mapping
from math import inf
from random import Random
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.crashes.answers import AnsweredCauses
from masticstage.forwarding.crashes.causes import (
    Cause,
    Causes,
    weigh_crashes,
)
from masticstage.forwarding.crashes.diagnosis import (
    RECURRING,
    Suspect,
    diagnose,
    find_outdated,
)
from masticstage.forwarding.crashes.evidence import LIFETIME_S, Evidence

#: Time for which new evidence is repeated to other instances.
_SPREAD_S: Final = 30.0
#: Most causes that are held, and causes in a message.
_CAPACITY: Final = 4096
_MAX_REPORTS: Final = 60


@attrs.frozen
class CauseReport:
    """What an instance knows about a cause.

    `uncleared` and `cleared` are crashes of upstreams, as hashes. A complete
    answer followed the cleared ones. `age_s` is the time since the last crash,
    `answered_age_s` that since the last complete answer, None without any, both
    in seconds.
    """

    cause: Cause
    uncleared: frozenset[int]
    cleared: frozenset[int]
    age_s: float
    answered_age_s: float | None = None


@attrs.frozen
class Finding:
    """What is known about a cause, for logs.

    `crashes` is the number of those that no complete answer followed,
    `upstreams` that of the upstreams that crashed in them. `rivals` are causes
    of all the same crashes. `answered_age_s` is the time since a complete
    answer in seconds, None without any.
    """

    cause: Cause
    crashes: int
    upstreams: int
    rivals: tuple[Cause, ...]
    answered_age_s: float | None


@final
@attrs.define
class CrashCauses:
    """The evidence about possible causes, and which are quarantined."""

    _clock: Clock
    _random: Random
    _evidence: dict[Cause, Evidence] = attrs.field(factory=dict)
    _answers: AnsweredCauses = attrs.field(factory=AnsweredCauses)
    _ended: list[Cause] = attrs.field(factory=list)

    def find_quarantined(self, causes: Iterable[Cause]) -> Cause | None:
        """Returns a quarantined one of the causes, None without any."""
        return next(iter(self._quarantined_among(causes)), None)

    def quarantined(self) -> list[Cause]:
        """Returns all quarantined causes."""
        return self._quarantined_among(self._evidence)

    def collect_ended(self) -> list[Cause]:
        """Returns causes whose quarantine has ended since the last call.

        Those whose time is over are not among them.
        """
        ended = list(self._ended)
        self._ended.clear()
        return ended

    def describe(self, cause: Cause) -> Finding:
        """Returns what is known about a cause."""
        evidence = self._evidence.get(cause)
        crashes = evidence.uncleared if evidence else frozenset()
        weight = weigh_crashes(crashes)
        rivals = (
            other
            for other, known in self._evidence.items()
            if other != cause and crashes and known.uncleared >= crashes
        )
        return Finding(
            cause,
            weight.crashes,
            weight.upstreams,
            tuple(sorted(rivals)),
            self._answered_age_s(cause, evidence, self._now_s()),
        )

    def record_crash(self, crash: int, causes: Causes) -> list[Cause]:
        """Records a crash of an upstream that ran requests with the causes.

        If one of them is quarantined, it explains the crash, and only its
        rivals are blamed as well. Returns the causes that are newly
        quarantined.
        """
        now_s = self._now_s()
        for cause in self._blamed_among(causes):
            evidence = self._evidence_for(cause, now_s)
            if evidence.add((crash,)):
                evidence.last_crash_s = now_s
                evidence.changed_s = now_s
            if self._answers.is_recent(cause, now_s):
                evidence.clear((crash,))
        return self._review()

    def record_answer(self, causes: Causes) -> list[Cause]:
        """Records a complete answer, which clears the causes of all crashes.

        Returns the causes that are newly quarantined, as the only ones left.
        """
        now_s = self._now_s()
        is_changed = False
        for cause in causes:
            self._answers.record(cause, now_s)
            evidence = self._evidence.get(cause)
            if evidence and evidence.clear(evidence.uncleared):
                evidence.changed_s = now_s
                is_changed = True
        return self._review() if is_changed else []

    def reports(self) -> list[CauseReport]:
        """Returns evidence for a message, the strongest if there is much.

        Quarantined causes are always included, others while they are new.
        """
        now_s = self._now_s()
        current = [
            (cause, evidence)
            for cause, evidence in self._evidence.items()
            if now_s - evidence.changed_s < _SPREAD_S
            or (evidence.diagnosis and evidence.is_valid(now_s))
        ]
        if not current:
            return []
        explained = _join_explained(self._evidence.values())
        # In random order, so that several messages have all that are as strong.
        self._random.shuffle(current)
        current.sort(
            key=lambda entry: weigh_crashes(entry[1].unexplained(explained)),
            reverse=True,
        )
        return [
            CauseReport(
                cause,
                evidence.uncleared,
                frozenset(evidence.crashes.keys() - evidence.uncleared),
                now_s - evidence.last_crash_s,
                self._answered_age_s(cause, evidence, now_s),
            )
            for cause, evidence in current[:_MAX_REPORTS]
        ]

    def learn(self, reports: Iterable[CauseReport]) -> list[Cause]:
        """Merges the evidence of another instance.

        Returns the causes that are newly quarantined.
        """
        now_s = self._now_s()
        news = [
            report
            for report in reports
            if report.age_s < LIFETIME_S and self._merge(report, now_s)
        ]
        return self._review() if news else []

    def _merge(self, report: CauseReport, now_s: float) -> bool:
        """Merges the evidence about one cause; returns whether any is new."""
        evidence = self._evidence_for(report.cause, now_s)
        if self._is_behind(report, evidence, now_s):
            # Repeats what is known here to the sender.
            evidence.changed_s = now_s
        is_new_answer = self._learn_answer(report, evidence, now_s)
        crashed_at_s = now_s - report.age_s
        has_new_crash = evidence.add(report.uncleared | report.cleared)
        is_cleared = evidence.clear(report.cleared)
        if self._answers.is_recent(report.cause, crashed_at_s):
            is_cleared = evidence.clear(evidence.uncleared) or is_cleared
        if has_new_crash:
            evidence.last_crash_s = max(evidence.last_crash_s, crashed_at_s)
        is_changed = has_new_crash or is_cleared or is_new_answer
        if is_changed:
            evidence.changed_s = now_s
        return is_changed

    def _is_behind(
        self, report: CauseReport, evidence: Evidence, now_s: float
    ) -> bool:
        """Returns whether a peer lacks an answer that is known here."""
        if any(map(evidence.crashes.get, report.uncleared)):
            return True
        known_age_s = self._answered_age_s(report.cause, evidence, now_s)
        return report.answered_age_s is None and known_age_s is not None

    def _learn_answer(
        self, report: CauseReport, evidence: Evidence, now_s: float
    ) -> bool:
        """Takes a peer's word that a cause was answered; returns if it is new.

        Only the first is taken. The time on the way is missing in each age, so
        an answer that went back and forth would become later and later.
        """
        age_s = report.answered_age_s
        known_age_s = self._answered_age_s(report.cause, evidence, now_s)
        if age_s is None or known_age_s is not None:
            return False
        evidence.answered_at_s = now_s - age_s
        return True

    def _answered_age_s(
        self, cause: Cause, evidence: Evidence | None, now_s: float
    ) -> float | None:
        """Returns the time since a complete answer that counts, or None."""
        heard_at_s = evidence.answered_at_s if evidence else -inf
        age_s = now_s - max(self._answers.last_s(cause), heard_at_s)
        return age_s if age_s < LIFETIME_S else None

    def _evidence_for(self, cause: Cause, now_s: float) -> Evidence:
        """Returns the valid evidence about a cause, empty if there is none."""
        evidence = self._evidence.get(cause)
        if evidence is None or not evidence.is_valid(now_s):
            evidence = Evidence(last_crash_s=-inf, changed_s=now_s)
            self._evidence[cause] = evidence
        return evidence

    def _blamed_among(self, causes: Causes) -> Causes:
        """Returns the causes against which a crash is evidence."""
        diagnoses = [
            diagnosis
            for cause in self._quarantined_among(causes)
            if (diagnosis := self._evidence[cause].diagnosis)
        ]
        if not diagnoses:
            return causes
        return frozenset(
            cause
            for diagnosis in diagnoses
            for cause in (diagnosis.cause, *(diagnosis.rivals & causes))
        )

    def _quarantined_among(self, causes: Iterable[Cause]) -> list[Cause]:
        if not self._evidence:
            return []
        now_s = self._now_s()
        return [
            cause
            for cause in causes
            if (evidence := self._evidence.get(cause)) is not None
            and evidence.diagnosis
            and evidence.is_valid(now_s)
        ]

    def _review(self) -> list[Cause]:
        """Ends quarantines that are not justified, and starts those due.

        Returns the causes that are newly quarantined.
        """
        for excess in _find_excess(self._evidence):
            self._evidence.pop(excess)
        suspects = self._suspects()
        outdated = {one.cause for one in suspects if not one.crashes}
        outdated.update(find_outdated(suspects))
        for cause in outdated:
            if self._evidence[cause].diagnosis:
                self._evidence[cause].diagnosis = None
                self._ended.append(cause)
        diagnoses = list(
            diagnose(
                attrs.evolve(one, diagnosis=self._evidence[one.cause].diagnosis)
                for one in suspects
                # What speaks for a cause is chosen before it can be again.
                if one.is_answered or one.cause not in outdated
            )
        )
        for diagnosis in diagnoses:
            self._evidence[diagnosis.cause].diagnosis = diagnosis
        return [diagnosis.cause for diagnosis in diagnoses]

    def _suspects(self) -> list[Suspect]:
        """Returns the causes that may be blamed for several crashes."""
        now_s = self._now_s()
        return [
            Suspect(
                cause,
                evidence.uncleared,
                self._answered_age_s(cause, evidence, now_s) is not None,
                evidence.diagnosis,
            )
            for cause, evidence in self._evidence.items()
            if len(evidence.crashes) >= RECURRING
        ]

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _join_explained(known: Iterable[Evidence]) -> frozenset[int]:
    """Returns the crashes that quarantined causes explain."""
    return frozenset(
        crash
        for evidence in known
        if evidence.diagnosis
        for crash in evidence.crashes
    )


def _find_excess(known: Mapping[Cause, Evidence]) -> list[Cause]:
    """Returns the oldest causes above the capacity, quarantined ones last."""
    excess = len(known) - _CAPACITY
    if excess <= 0:
        return []
    by_worth = sorted(
        known,
        key=lambda cause: (
            known[cause].diagnosis is not None,
            known[cause].last_crash_s,
        ),
    )
    return by_worth[:excess]
