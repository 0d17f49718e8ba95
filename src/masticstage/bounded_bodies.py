"""Reads bodies of HTTP answers up to a bound."""

import httpx

from masticstage.exceptions import EndlessBodyError


async def read_bounded(response: httpx.Response, max_bytes: int) -> bytes:
    """Reads the rest of a body.

    Raises EndlessBodyError once it is larger than `max_bytes`, and
    httpx.HTTPError if the answer breaks off.
    """
    body = bytearray()
    async for chunk in response.aiter_bytes():
        body += chunk
        if len(body) > max_bytes:
            raise EndlessBodyError(max_bytes)
    return bytes(body)
