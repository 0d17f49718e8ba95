"""Logs which upstreams are paced after a start or a recovery."""

from typing import Final

from masticstage.edges.gateway import Gateway

_MS_PER_S: Final = 1000


def log_pace_changes(gateway: Gateway) -> None:
    """Ends paces that are due, and logs those that started or ended."""
    for change in gateway.views.chooser.pacer.take_changes():
        event = 'upstream_pace_ended' if change.has_ended else 'upstream_paced'
        gateway.metrics.count(event)
        gateway.log.record(
            event,
            upstream=change.upstream,
            limit=round(change.limit, 1),
            lasted_ms=round(change.lasted_s * _MS_PER_S),
        )
