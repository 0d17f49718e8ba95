"""Awaits asyncio code, such as grpc.aio, from trio tasks, and vice versa."""

from collections.abc import Awaitable, Callable
from typing import TypeVar, cast

from trio_asyncio import aio_as_trio, trio_as_aio

_Returned = TypeVar('_Returned')


async def from_trio(start: Callable[[], Awaitable[_Returned]]) -> _Returned:
    """Awaits the asyncio awaitable that `start` returns, in a trio task."""

    async def run_start() -> _Returned:
        return await start()

    return cast('_Returned', await aio_as_trio(run_start)())


async def from_asyncio(start: Callable[[], Awaitable[_Returned]]) -> _Returned:
    """Awaits the trio awaitable that `start` returns, in an asyncio task."""
    return cast('_Returned', await trio_as_aio(start)())
