"""Checks that need to know which faults were injected, and when."""

import time
from collections.abc import Iterator
from typing import Final

from bench.deployments import Deployment
from bench.faults import Interval, Ledger
from bench.history import History, Observation, Violation
from masticstage.outcomes import Outcome

#: Work may still be started at a leaving upstream for this long.
LEAVING_S: Final = 5.0
#: Time after a cut in which the instances notice it.
_NOTICE_S: Final = 1.5
#: Operations that start later than this before the end are not checked.
_SERVED_S: Final = 2.5
_WORK: Final = frozenset(('started', 'executed'))
#: Faults that must not keep a region that is cut off from serving.
_HARMLESS: Final = frozenset(
    (
        'cut_region',
        'stop_platform',
        'stale_platform',
        'publish',
        'race_operators',
        'answer_late',
        'retire_upstream',
    )
)
_DRAINS: Final = frozenset(('drain_instance', 'drain_pair'))


def check_cut_off(history: History, ledger: Ledger) -> Iterator[Violation]:
    """A data centre that is cut off serves the callers of its region."""
    for cut in ledger.cut_off:
        for seen in operations_in_cut(history, ledger, cut):
            is_late = seen.ended_s + _skew_s() > cut.end_s
            if seen.failure or is_late or seen.outcome is Outcome.UNKNOWN:
                yield Violation(
                    'cut_off_region',
                    seen.operation.request_id,
                    seen.failure or 'not served while cut off',
                )


def operations_in_cut(
    history: History,
    ledger: Ledger,
    cut: Interval,
) -> Iterator[Observation]:
    """Yields the operations that must be served while a region is cut off.

    When instances, links or engines fail at the same time, nothing is
    promised.
    """
    if not _HARMLESS.issuperset(ledger.kinds):
        return
    region = _region(history.deployment, cut)
    earliest_s = cut.start_s + _NOTICE_S - _skew_s()
    latest_s = cut.end_s - _SERVED_S - _skew_s()
    for seen in history.observations:
        is_near = seen.operation.region == region
        if is_near and earliest_s < seen.started_s < latest_s:
            yield seen


def check_leaving(history: History, ledger: Ledger) -> Iterator[Violation]:
    """An upstream that leaves gets no new work after a few seconds."""
    for leaving in ledger.leaving:
        for record in history.records:
            is_work = record['event'] in _WORK
            if not is_work or record['upstream'] != leaving.subject:
                continue
            if leaving.start_s + LEAVING_S < record['at_s'] < leaving.end_s:
                yield Violation('leaving', leaving.subject, str(record))


def count_offered(history: History, leaving: Interval) -> int:
    """Counts the work that the other upstreams of its data centre got."""
    site = leaving.subject.rpartition('-engine-')[0]
    return sum(
        record['event'] in _WORK
        and record['upstream'].startswith(f'{site}-engine-')
        and leaving.start_s + LEAVING_S < record['at_s'] < leaving.end_s
        for record in history.records
    )


def check_graceful_shutdown(
    history: History,
    ledger: Ledger,
) -> Iterator[Violation]:
    """A drain cuts no request off and ends in time."""
    for name in ledger.overdue_drains:
        yield Violation('graceful_shutdown', name, 'did not end')
    for seen in operations_in_drain(history, ledger):
        if seen.resumes or seen.failure or seen.outcome is Outcome.UNKNOWN:
            yield Violation(
                'graceful_shutdown',
                seen.operation.request_id,
                seen.failure or f'{seen.resumes} resumes',
            )


def operations_in_drain(
    history: History,
    ledger: Ledger,
) -> tuple[Observation, ...]:
    """Returns all operations when instances were drained and nothing else."""
    if not ledger.kinds or not _DRAINS.issuperset(ledger.kinds):
        return ()
    return history.observations


def _skew_s() -> float:
    """Returns the difference of the time of day and the monotonic clock."""
    return time.time() - time.monotonic()


def _region(deployment: Deployment, cut: Interval) -> str:
    for site in deployment.sites:
        if site.data_centre == cut.subject:
            return site.region
    raise KeyError(cut.subject)
