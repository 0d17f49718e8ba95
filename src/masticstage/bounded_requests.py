"""Bounds what the bodies of all requests of callers hold together.

The web framework bounds one body and reads it whole; nothing there bounds the
sum of many.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import attrs
import trio

from masticstage.edges.memory_budget import Holding, MemoryBudget, Phase
from masticstage.exceptions import OverloadedError
from masticstage.instance import Instance
from masticstage.requests import TICKET_HEADER
from masticstage.serving import refuse

#: Copies of a body: those of the server and of the framework, and the parsed
#: or forwarded request.
_COPIES: Final = 3

#: Scopes and messages as ASGI has them.
_Message = Any
_Receive = Callable[[], Awaitable[_Message]]
_Send = Callable[[_Message], Awaitable[None]]
Application = Callable[[_Message, _Receive, _Send], Awaitable[None]]


def bound_requests(
    application: Application, instance: Instance, budget: MemoryBudget
) -> Application:
    """Returns an ASGI application whose requests stay within a budget.

    A request that has to give way is refused before it is handled.
    """

    async def serve(scope: _Message, receive: _Receive, send: _Send) -> None:
        if scope['type'] != 'http':
            await application(scope, receive, send)
            return
        request = _BoundedRequest(budget.open(), receive, send)
        try:
            await request.run(application, scope)
        finally:
            request.holding.close()
        if request.is_refused:
            await _send_refusal(instance, scope, send)

    return serve


@final
@attrs.define(eq=False)
class _BoundedRequest:
    """One request, whose body counts while it arrives and is handled."""

    holding: Holding
    _receive: _Receive
    _send: _Send
    is_refused: bool = False
    _body_bytes: int = 0
    _is_answered: bool = False
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self, application: Application, scope: _Message) -> None:
        """Runs the application until it ends or the request gives way."""
        self.holding.enter(Phase.READING)
        self.holding.on_eviction(self._give_way)
        with self._scope:
            await application(scope, self._receive_counted, self._send_noted)

    async def _receive_counted(self) -> _Message:
        message = await self._receive()
        if message['type'] == 'http.request' and not self._is_answered:
            self._count(message)
        return message

    def _count(self, message: _Message) -> None:
        self._body_bytes += len(message.get('body', b''))
        held = self._body_bytes * _COPIES
        if message.get('more_body', False):
            self.holding.hold(held)
        elif not self.holding.take(held):
            self._give_way()

    async def _send_noted(self, message: _Message) -> None:
        # An answer that has begun is not replaced by a refusal.
        self._is_answered = True
        self.holding.enter(Phase.HANDLING)
        await self._send(message)

    def _give_way(self) -> None:
        self.is_refused = not self._is_answered
        self._scope.cancel()


async def _send_refusal(
    instance: Instance, scope: _Message, send: _Send
) -> None:
    headers = {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in scope['headers']
    }
    ticket = headers.get(TICKET_HEADER.lower(), '')
    reply = refuse(instance, OverloadedError('instance'), '', ticket)
    fields = (
        ('Content-Type', reply.content_type),
        ('Content-Length', str(len(reply.body))),
        ('Connection', 'close'),
        *reply.headers,
    )
    await send(
        {
            'type': 'http.response.start',
            'status': reply.status,
            'headers': [
                (name.lower().encode(), text.encode()) for name, text in fields
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': reply.body})
