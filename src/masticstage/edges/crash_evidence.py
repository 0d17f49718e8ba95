"""Records evidence about what crashes upstreams; logs what follows from it."""

from collections.abc import Iterable
from typing import Final

from masticstage.edges.gateway import Gateway
from masticstage.forwarding.crashes.causes import (
    Cause,
    Causes,
    identify_crash,
)
from masticstage.forwarding.published import UpstreamRecord

#: Causes in one log line, of up to some hundred.
_MAX_LOGGED: Final = 20


def record_crash(
    gateway: Gateway, record: UpstreamRecord, causes: Causes
) -> None:
    """Records a crash of an upstream that ran requests with the causes."""
    gateway.metrics.count('upstream_crashed')
    gateway.log.record(
        'upstream_crashed',
        upstream=record.name,
        started_at_ms=record.started_at_ms,
        causes=sorted(map(str, causes))[:_MAX_LOGGED],
        cause_count=len(causes),
    )
    crash = identify_crash(record)
    record_quarantined(
        gateway, gateway.views.crash_causes.record_crash(crash, causes)
    )


def record_answer(gateway: Gateway, causes: Causes) -> None:
    """Records a complete answer, which clears causes of crashes."""
    record_quarantined(
        gateway, gateway.views.crash_causes.record_answer(causes)
    )


def record_quarantined(
    gateway: Gateway, causes: Iterable[Cause], source: str = ''
) -> None:
    """Logs causes of crashes that are refused from now on, or not any longer.

    `source` is the instance whose report led to that, empty for a crash or an
    answer that was seen here.
    """
    for ended in gateway.views.crash_causes.collect_ended():
        gateway.log.record('quarantine_ended', cause=str(ended), source=source)
    for cause in causes:
        finding = gateway.views.crash_causes.describe(cause)
        gateway.metrics.count('quarantined')
        gateway.log.record(
            'quarantined',
            cause=str(cause),
            source=source,
            crashes=finding.crashes,
            upstreams=finding.upstreams,
            rivals=[str(rival) for rival in finding.rivals[:_MAX_LOGGED]],
            answered_age_s=finding.answered_age_s,
        )
