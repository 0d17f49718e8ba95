"""Checks that depend on which faults were injected, and when."""

import time
from collections.abc import Iterator
from typing import Final

from bench.deployments import Deployment
from bench.faults import FaultLog, Interval
from bench.history import History, Observation, Violation
from masticstage.outcomes import Outcome

#: Time for all instances to learn that an upstream is leaving; until then they
#: may still send work to it.
LEAVING_GRACE_S: Final = 5.0
#: Time for the instances to detect that they are cut off.
_CUT_DETECTION_S: Final = 1.5
#: Operations that start within this time before the end of a cut are not
#: checked, since they may end after it.
_CUT_END_MARGIN_S: Final = 2.5
_WORK_EVENTS: Final = frozenset(('started', 'executed'))
#: Faults under which a region that is cut off must still serve.
_TOLERATED_FAULTS: Final = frozenset(
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
_DRAIN_FAULTS: Final = frozenset(('drain_instance', 'drain_pair'))


def check_cut_off(history: History, fault_log: FaultLog) -> Iterator[Violation]:
    """A data centre that is cut off still serves the callers of its region."""
    for cut in fault_log.cut_off:
        for observation in operations_while_cut_off(history, fault_log, cut):
            is_late = observation.ended_s + _wall_clock_offset_s() > cut.end_s
            if (
                observation.failure
                or is_late
                or observation.outcome is Outcome.UNKNOWN
            ):
                yield Violation(
                    'cut_off_region',
                    observation.operation.request_id,
                    observation.failure or 'not served while cut off',
                )


def operations_while_cut_off(
    history: History,
    fault_log: FaultLog,
    cut: Interval,
) -> Iterator[Observation]:
    """Yields the operations that must be served while a region is cut off.

    Yields none if instances, links or engines fail at the same time: then
    service is not guaranteed.
    """
    if not _TOLERATED_FAULTS.issuperset(fault_log.kinds):
        return
    region = _region_of(history.deployment, cut)
    earliest_s = cut.start_s + _CUT_DETECTION_S - _wall_clock_offset_s()
    latest_s = cut.end_s - _CUT_END_MARGIN_S - _wall_clock_offset_s()
    for observation in history.observations:
        is_local = observation.operation.region == region
        if is_local and earliest_s < observation.started_s < latest_s:
            yield observation


def check_leaving(history: History, fault_log: FaultLog) -> Iterator[Violation]:
    """A leaving upstream gets no new work after `LEAVING_GRACE_S`."""
    for leaving in fault_log.leaving:
        for record in history.records:
            is_work = record['event'] in _WORK_EVENTS
            if not is_work or record['upstream'] != leaving.subject:
                continue
            if (
                leaving.start_s + LEAVING_GRACE_S
                < record['at_s']
                < leaving.end_s
            ):
                yield Violation('leaving', leaving.subject, str(record))


def count_diverted_work(history: History, leaving: Interval) -> int:
    """Counts work that could have gone to an engine while it was leaving.

    This is the work of the engines in the same data centre, counted from
    `LEAVING_GRACE_S` on.
    """
    data_centre = leaving.subject.rpartition('-engine-')[0]
    return sum(
        record['event'] in _WORK_EVENTS
        and record['upstream'].startswith(f'{data_centre}-engine-')
        and leaving.start_s + LEAVING_GRACE_S < record['at_s'] < leaving.end_s
        for record in history.records
    )


def check_graceful_shutdown(
    history: History,
    fault_log: FaultLog,
) -> Iterator[Violation]:
    """A drain interrupts no request and ends before its timeout."""
    for name in fault_log.overdue_drains:
        yield Violation('graceful_shutdown', name, 'drain did not end in time')
    for observation in operations_while_draining(history, fault_log):
        if (
            observation.resumes
            or observation.failure
            or observation.outcome is Outcome.UNKNOWN
        ):
            yield Violation(
                'graceful_shutdown',
                observation.operation.request_id,
                observation.failure or f'{observation.resumes} resumes',
            )


def operations_while_draining(
    history: History,
    fault_log: FaultLog,
) -> tuple[Observation, ...]:
    """Returns all operations if draining was the only fault, else none."""
    if not fault_log.kinds or not _DRAIN_FAULTS.issuperset(fault_log.kinds):
        return ()
    return history.observations


def _wall_clock_offset_s() -> float:
    """Returns the time since 1970 minus the monotonic clock, in seconds."""
    return time.time() - time.monotonic()


def _region_of(deployment: Deployment, cut: Interval) -> str:
    for site in deployment.sites:
        if site.data_centre == cut.subject:
            return site.region
    raise KeyError(cut.subject)
