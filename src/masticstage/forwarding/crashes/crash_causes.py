"""Finds what the requests that crash upstreams have in common.

A crash is evidence against each request that was running on the upstream: its
content, and each part of its prompt that other requests share.  A complete
answer afterwards is evidence for the same.  What remains after several crashes
is quarantined.  All instances merge their evidence, in any order.
"""

from collections import OrderedDict
from collections.abc import Iterable
from math import inf
from random import Random
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.crashes.causes import (
    Cause,
    Causes,
    Weight,
    weigh_crashes,
)

#: A cause whose requests were answered this short a time before a crash is not
#: blamed for it. Otherwise several crashes within a second would be blamed on
#: what all prompts share, before any of their answers is complete.
_TRUSTED_FOR_S: Final = 2.0
#: A cause is quarantined after unexplained crashes of so many upstreams, or of
#: fewer if one alone has crashed so often. An upstream that goes down again and
#: again breaks what is often sent to it, whatever that is.
UPSTREAMS_TO_QUARANTINE: Final = 3
CRASHES_TO_QUARANTINE: Final = 5
#: Time after the last crash for which evidence and a quarantine are valid.
_LIFETIME_S: Final = 3600.0
#: Time for which new evidence is repeated to other instances.
_SPREAD_S: Final = 30.0
#: Most causes that are held, answers that are remembered, causes in a message,
#: and crashes of one cause.
_CAPACITY: Final = 4096
_MAX_ANSWERS: Final = 4096
_MAX_REPORTS: Final = 60
_MAX_CRASHES: Final = 16


@attrs.frozen
class CauseReport:
    """What an instance knows about a cause.

    `uncleared` and `cleared` are crashes of upstreams, as hashes. A complete
    answer followed the cleared ones. `age_s` is the time since the last crash
    in seconds.
    """

    cause: Cause
    uncleared: frozenset[int]
    cleared: frozenset[int]
    age_s: float


@attrs.frozen
class Finding:
    """What is known about a cause, for logs.

    `crashes` are those that no complete answer followed, `upstreams` the
    number of upstreams that crashed in them. `rivals` are causes of all the
    same crashes. `answered_age_s` is the time since a complete answer that
    this instance saw, in seconds, None without any.
    """

    cause: Cause
    crashes: int
    upstreams: int
    rivals: tuple[Cause, ...]
    answered_age_s: float | None


@attrs.define
class _Evidence:
    """Crashes with a cause; times are on the monotonic clock, in seconds.

    `crashes` maps each crash to whether a complete answer followed.
    """

    last_crash_s: float
    changed_s: float
    crashes: dict[int, bool] = attrs.field(factory=dict)
    is_quarantined: bool = False

    @property
    def uncleared(self) -> frozenset[int]:
        """The crashes after which no complete answer was seen."""
        return frozenset(
            crash for crash, clear in self.crashes.items() if not clear
        )

    def add(self, crashes: Iterable[int]) -> bool:
        """Adds crashes; returns whether any is new."""
        new = [crash for crash in crashes if crash not in self.crashes]
        self.crashes.update(dict.fromkeys(new, False))
        self._drop_oldest()
        return bool(new)

    def clear(self, crashes: Iterable[int]) -> bool:
        """Clears crashes; returns whether any was not cleared before."""
        new = [crash for crash in crashes if not self.crashes.get(crash)]
        self.crashes.update(dict.fromkeys(new, True))
        self._drop_oldest()
        if not self.uncleared:
            self.is_quarantined = False
        return bool(new)

    def _drop_oldest(self) -> None:
        while len(self.crashes) > _MAX_CRASHES:
            self.crashes.pop(next(iter(self.crashes)))


@final
@attrs.define
class CrashCauses:
    """The evidence about possible causes, and which are quarantined."""

    _clock: Clock
    _random: Random
    _evidence: dict[Cause, _Evidence] = attrs.field(factory=dict)
    _answered_at_s: OrderedDict[Cause, float] = attrs.field(factory=OrderedDict)

    def find_quarantined(self, causes: Iterable[Cause]) -> Cause | None:
        """Returns a quarantined one of the causes, None without any."""
        return next(iter(self._quarantined_among(causes)), None)

    def quarantined(self) -> list[Cause]:
        """Returns all quarantined causes."""
        return self._quarantined_among(self._evidence)

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
        answered_at_s = self._answered_at_s.get(cause)
        return Finding(
            cause,
            weight.crashes,
            weight.upstreams,
            tuple(sorted(rivals)),
            None if answered_at_s is None else self._now_s() - answered_at_s,
        )

    def record_crash(self, crash: int, causes: Causes) -> list[Cause]:
        """Records a crash of an upstream that ran requests with the causes.

        If one of them is quarantined, it explains the crash, and the others
        are not blamed. Returns the causes that are newly quarantined.
        """
        now_s = self._now_s()
        for cause in self._quarantined_among(causes) or causes:
            evidence = self._evidence_for(cause, now_s)
            if evidence.add((crash,)):
                evidence.last_crash_s = now_s
                evidence.changed_s = now_s
            if self._was_answered(cause, now_s):
                evidence.clear((crash,))
        return self._quarantine_due()

    def record_answer(self, causes: Causes) -> list[Cause]:
        """Records a complete answer, which clears the causes of all crashes.

        Returns the causes that are newly quarantined, as the only ones left.
        """
        now_s = self._now_s()
        is_changed = False
        for cause in causes:
            self._answered_at_s[cause] = now_s
            self._answered_at_s.move_to_end(cause)
            evidence = self._evidence.get(cause)
            if evidence and evidence.clear(evidence.uncleared):
                evidence.changed_s = now_s
                is_changed = True
        while len(self._answered_at_s) > _MAX_ANSWERS:
            self._answered_at_s.popitem(last=False)
        return self._quarantine_due() if is_changed else []

    def reports(self) -> list[CauseReport]:
        """Returns evidence for a message, the strongest if there is much.

        Quarantined causes are always included, others while they are new.
        """
        now_s = self._now_s()
        current = [
            (cause, evidence)
            for cause, evidence in self._evidence.items()
            if now_s - evidence.changed_s < _SPREAD_S
            or (evidence.is_quarantined and self._is_valid(evidence, now_s))
        ]
        if not current:
            return []
        explained = self._explained()
        # In random order, so that several messages have all that are as strong.
        self._random.shuffle(current)
        current.sort(
            key=lambda entry: weigh_crashes(_unexplained(entry[1], explained)),
            reverse=True,
        )
        return [
            CauseReport(
                cause,
                evidence.uncleared,
                frozenset(evidence.crashes.keys() - evidence.uncleared),
                now_s - evidence.last_crash_s,
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
            if report.age_s < _LIFETIME_S and self._merge(report, now_s)
        ]
        return self._quarantine_due() if news else []

    def _merge(self, report: CauseReport, now_s: float) -> bool:
        """Merges the evidence about one cause; returns whether any is new."""
        evidence = self._evidence_for(report.cause, now_s)
        crashed_at_s = now_s - report.age_s
        has_new_crash = evidence.add(report.uncleared | report.cleared)
        is_cleared = evidence.clear(report.cleared)
        if self._was_answered(report.cause, crashed_at_s):
            is_cleared = evidence.clear(evidence.uncleared) or is_cleared
        if has_new_crash:
            evidence.last_crash_s = max(evidence.last_crash_s, crashed_at_s)
        if has_new_crash or is_cleared:
            evidence.changed_s = now_s
        return has_new_crash or is_cleared

    def _was_answered(self, cause: Cause, crashed_at_s: float) -> bool:
        """Returns whether an answer speaks against blame for a crash."""
        answered_at_s = self._answered_at_s.get(cause, -inf)
        return answered_at_s > crashed_at_s - _TRUSTED_FOR_S

    def _evidence_for(self, cause: Cause, now_s: float) -> _Evidence:
        """Returns the valid evidence about a cause, empty if there is none."""
        evidence = self._evidence.get(cause)
        if evidence is None or not self._is_valid(evidence, now_s):
            evidence = _Evidence(last_crash_s=-inf, changed_s=now_s)
            self._evidence[cause] = evidence
        return evidence

    def _is_valid(self, evidence: _Evidence, now_s: float) -> bool:
        return now_s - evidence.last_crash_s < _LIFETIME_S

    def _quarantined_among(self, causes: Iterable[Cause]) -> list[Cause]:
        if not self._evidence:
            return []
        now_s = self._now_s()
        return [
            cause
            for cause in causes
            if (evidence := self._evidence.get(cause)) is not None
            and evidence.is_quarantined
            and self._is_valid(evidence, now_s)
        ]

    def _explained(self) -> set[int]:
        """Returns the crashes that a quarantined cause explains."""
        return {
            crash
            for evidence in self._evidence.values()
            if evidence.is_quarantined
            for crash in evidence.crashes
        }

    def _quarantine_due(self) -> list[Cause]:
        """Quarantines causes while crashes are left that need explanation.

        While several causes have the same weight, none is chosen, since an
        answer or a further crash soon tells them apart. After enough crashes
        one is, first the content of a request, which affects fewest callers.
        """
        self._evict()
        quarantined: list[Cause] = []
        while True:
            cause = self._strongest()
            if cause is None:
                return quarantined
            self._evidence[cause].is_quarantined = True
            quarantined.append(cause)

    def _strongest(self) -> Cause | None:
        """Returns the cause to quarantine next, None without any."""
        explained = self._explained()
        weights = {
            cause: weigh_crashes(_unexplained(evidence, explained))
            for cause, evidence in self._evidence.items()
            if not evidence.is_quarantined
        }
        weight = max(weights.values(), default=Weight(0, 0))
        equal = [cause for cause in weights if weights[cause] == weight]
        is_due = weight.crashes >= CRASHES_TO_QUARANTINE or (
            weight.upstreams >= UPSTREAMS_TO_QUARANTINE and len(equal) == 1
        )
        if not is_due:
            return None
        return max(equal, key=lambda cause: (not cause.is_part, cause))

    def _evict(self) -> None:
        """Drops the oldest causes above the capacity, quarantined ones last."""
        excess = len(self._evidence) - _CAPACITY
        if excess <= 0:
            return
        by_worth = sorted(
            self._evidence,
            key=lambda cause: (
                self._evidence[cause].is_quarantined,
                self._evidence[cause].last_crash_s,
            ),
        )
        for cause in by_worth[:excess]:
            self._evidence.pop(cause)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _unexplained(evidence: _Evidence, explained: set[int]) -> frozenset[int]:
    """Returns the crashes that speak against a cause."""
    if evidence.is_quarantined:
        return evidence.uncleared
    return evidence.uncleared - explained
