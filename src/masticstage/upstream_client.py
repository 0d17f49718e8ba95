"""Calls to model engines and applications over HTTP."""

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from datetime import timedelta
from typing import Final, final

import httpx

from masticstage.bounded_bodies import read_bounded
from masticstage.configuration_schema import Upstream
from masticstage.exceptions import (
    EndlessBodyError,
    UpstreamFailedError,
    UpstreamRefusedError,
)
from masticstage.outcomes import Answer
from masticstage.requests import JSON_TYPE, Request
from masticstage.upstream_table import LoadReport

_CONNECT_TIMEOUT_S: Final = 1.0
_LOAD_TIMEOUT_S: Final = 1.0
#: Largest body that is held whole.
_MAX_BODY_BYTES: Final = 4_194_304
_LOAD_ERRORS: Final = (
    httpx.HTTPError,
    EndlessBodyError,
    KeyError,
    TypeError,
    ValueError,
)
#: Failures before the first byte of a request was written.
_NOTHING_SENT: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


@final
class UpstreamClient:
    """HTTP connections to the upstreams of this data centre.

    Calls that are not idempotent never reuse a connection, since the
    upstream may close an idle one while the request is being written.
    """

    def __init__(self, read_timeout: timedelta) -> None:
        """Creates the connection pools; `read_timeout` bounds each read."""
        timeout = httpx.Timeout(
            read_timeout.total_seconds(),
            connect=_CONNECT_TIMEOUT_S,
        )
        self._client = httpx.AsyncClient(
            timeout=timeout,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=None,
            ),
            trust_env=False,
        )
        self._single_use = httpx.AsyncClient(
            timeout=timeout,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=0,
            ),
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()
        await self._single_use.aclose()

    async def call(
        self,
        upstream: Upstream,
        request: Request,
        timeout: timedelta,
        headers: Mapping[str, str],
    ) -> Answer:
        """Sends one application call and returns its complete answer.

        Raises `UpstreamRefusedError` when nothing was sent, and
        `UpstreamFailedError` when the call may have run.
        """
        client = self._client if request.kind.idempotent else self._single_use
        try:
            async with client.stream(
                request.method,
                f'{upstream.address}{request.target}',
                content=request.body,
                headers={'Content-Type': request.content_type, **headers},
                timeout=httpx.Timeout(
                    timeout.total_seconds(),
                    connect=_CONNECT_TIMEOUT_S,
                ),
            ) as response:
                body = await read_bounded(response, _MAX_BODY_BYTES)
        except _NOTHING_SENT as error:
            raise UpstreamRefusedError(upstream.name) from error
        except (httpx.HTTPError, EndlessBodyError) as error:
            raise _upstream_failure(upstream, error) from error
        return Answer(
            response.status_code,
            response.headers.get('Content-Type', JSON_TYPE),
            body,
        )

    @asynccontextmanager
    async def start_stream(
        self,
        upstream: Upstream,
        request: Request,
        stream_id: str,
        rank: int,
    ) -> AsyncIterator[AsyncIterator[bytes]]:
        """Starts a model answer; yields its body, the bytes of its events.

        The engine admits requests of a lower `rank` first.
        """
        headers = {
            'Content-Type': JSON_TYPE,
            'X-Request-Id': stream_id,
            'X-Priority': str(rank),
        }
        response_context = self._client.stream(
            'POST',
            f'{upstream.address}/v1/chat/completions',
            content=request.body,
            headers=headers,
        )
        async with _body_of_stream(upstream, response_context) as body:
            yield body

    @asynccontextmanager
    async def resume_stream(
        self,
        upstream: Upstream,
        stream_id: str,
        after: int,
    ) -> AsyncIterator[AsyncIterator[bytes]]:
        """Resumes a model answer after the event with index `after`."""
        response_context = self._client.stream(
            'GET',
            f'{upstream.address}/v1/streams/{stream_id}',
            params={'after': after},
        )
        async with _body_of_stream(upstream, response_context) as body:
            yield body

    async def cancel_stream(self, upstream: Upstream, stream_id: str) -> None:
        """Requests that an engine stop generating an answer."""
        try:
            await self._client.delete(
                f'{upstream.address}/v1/streams/{stream_id}',
            )
        except httpx.HTTPError as error:
            raise _upstream_failure(upstream, error) from error

    async def read_load(self, upstream: Upstream) -> LoadReport:
        """Reads the load that an upstream reports."""
        try:
            async with self._client.stream(
                'GET',
                f'{upstream.address}/load',
                timeout=_LOAD_TIMEOUT_S,
            ) as response:
                body = await read_bounded(response, _MAX_BODY_BYTES)
            fields = json.loads(body)
            return LoadReport(
                upstream.name,
                int(fields['incarnation']),
                int(fields['reported_ms']),
                int(fields['queued']),
                int(fields['running']),
            )
        except _LOAD_ERRORS as error:
            raise _upstream_failure(upstream, error) from error


@asynccontextmanager
async def _body_of_stream(
    upstream: Upstream,
    response_context: AbstractAsyncContextManager[httpx.Response],
) -> AsyncIterator[AsyncIterator[bytes]]:
    try:
        async with response_context as response:
            if response.status_code != httpx.codes.OK:
                raise UpstreamFailedError(
                    upstream.name,
                    f'status {response.status_code}',
                )
            yield response.aiter_raw()
    except _NOTHING_SENT as error:
        raise UpstreamRefusedError(upstream.name) from error
    except httpx.HTTPError as error:
        raise _upstream_failure(upstream, error) from error


def _upstream_failure(
    upstream: Upstream, error: Exception
) -> UpstreamFailedError:
    return UpstreamFailedError(upstream.name, type(error).__name__)
