"""Dispatch of one application call to one upstream."""

from datetime import timedelta

from masticstage.audit import Event
from masticstage.configuration_schema import Upstream
from masticstage.exceptions import UpstreamFailedError, UpstreamRefusedError
from masticstage.instance import Instance
from masticstage.outcomes import Answer
from masticstage.requests import Request


async def call_upstream(
    instance: Instance,
    request: Request,
    upstream: Upstream,
    timeout: timedelta,
) -> Answer:
    """Sends a call and counts it in the upstream table while it is open.

    Raises `UpstreamFailedError` or `UpstreamRefusedError`; the upstream is
    then avoided for a while.
    """
    table = instance.views.upstreams
    started = instance.clock.elapsed()
    instance.audit.record(Event.ROUTED, request.request_id, upstream.name)
    table.begin_request(upstream.name)
    duration = None
    try:
        answer = await instance.connections.upstreams.call(
            upstream,
            request,
            timeout,
            {'X-Request-Id': request.request_id},
        )
        duration = instance.clock.elapsed() - started
    except (UpstreamFailedError, UpstreamRefusedError):
        table.avoid(upstream.name)
        raise
    finally:
        table.end_request(upstream.name, duration)
    return answer


def remaining_time(instance: Instance, request: Request) -> timedelta:
    """Returns the time left until a request's deadline."""
    return max(request.deadline - instance.clock.elapsed(), timedelta())
