"""Stand-in for a replica of the users' platform, misbehaviour included.

It answers raw HTTP/1.1 so that it can break the protocol.  What it does with
a request is drawn from `faults`, one after another; `sound` when they are
used up.  It keeps the ids of all requests that it ran.
"""

import enum
import sys
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Final, final

import attrs
import fire
import h11
import trio

_READ_BYTES: Final = 65536
_EVENTS: Final = 6
_PAUSE_S: Final = 0.01


@enum.unique
class Fault(enum.Enum):
    """What a replica does with one request."""

    SOUND = 'sound'
    EXTRA = 'extra'
    OTHER_ID = 'other-id'
    UNSIGNED = 'unsigned'
    UNFRAMED = 'unframed'
    CUT = 'cut'
    CUT_IN_EVENT = 'cut-in-event'
    RESET = 'reset'
    SILENT = 'silent'
    MISDIRECTED = 'misdirected'
    NOT_RUN = 'not-run'
    ERROR = 'error'


@final
@attrs.define(eq=False)
class Replica:
    """One replica: its identity, its faults, and what it has run."""

    name: str
    faults: deque[Fault] = attrs.field(factory=deque)
    ran: list[str] = attrs.field(factory=list)
    requests: list[dict[str, str]] = attrs.field(factory=list)
    bodies: list[bytes] = attrs.field(factory=list)
    events: int = _EVENTS
    draw: Callable[[], Fault] = lambda: Fault.SOUND
    note_run: Callable[[str], None] = lambda _: None
    is_healthy: bool = True
    is_mute: bool = False
    open_requests: int = 0

    async def converse(self, stream: trio.SocketStream) -> None:
        """Serves the requests on one connection."""
        parser = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(stream, parser):
                parser.start_next_cycle()
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_one(
        self,
        stream: trio.SocketStream,
        parser: h11.Connection,
    ) -> bool:
        request, body = await _read(stream, parser)
        if request is None:
            return False
        fields = {
            name.decode(): text.decode() for name, text in request.headers
        }
        fields['path'] = request.target.decode()
        if fields['path'] == '/health':
            await self._answer_health(stream, parser)
            return True
        self.requests.append(fields)
        self.bodies.append(body)
        fault = self.faults.popleft() if self.faults else self.draw()
        self.open_requests += 1
        is_kept = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_watch, stream, nursery.cancel_scope)
                is_kept = await self._answer(stream, parser, fields, fault)
                nursery.cancel_scope.cancel()
        finally:
            self.open_requests -= 1
        return is_kept

    async def _answer_health(
        self,
        stream: trio.SocketStream,
        parser: h11.Connection,
    ) -> None:
        if self.is_mute:
            await trio.sleep_forever()
        status = 200 if self.is_healthy else 503
        head = h11.Response(
            status_code=status,
            headers=[('X-Instance-Id', self.name), ('Content-Length', '0')],
        )
        await _write(stream, parser, head, h11.EndOfMessage())

    async def _answer(
        self,
        stream: trio.SocketStream,
        parser: h11.Connection,
        fields: dict[str, str],
        fault: Fault,
    ) -> bool:
        if fault is Fault.MISDIRECTED or self._is_misdirected(fields):
            await _refuse(stream, parser, 421, ())
            return True
        if fault is Fault.NOT_RUN:
            await _refuse(stream, parser, 503, (('X-Not-Executed', '1'),))
            return True
        self.ran.append(fields['x-request-id'])
        self.note_run(fields['x-request-id'])
        if fault is Fault.SILENT:
            await trio.sleep_forever()
        if fault is Fault.RESET:
            return False
        headers = self._headers(fields, fault)
        if fault is Fault.ERROR:
            await _refuse(stream, parser, 500, headers)
            return True
        if 'x-token-counts' in fields:
            return await self._stream(stream, parser, fields, fault, headers)
        return await self._whole(stream, parser, fault, headers)

    def _is_misdirected(self, fields: dict[str, str]) -> bool:
        return fields.get('x-target-instance', self.name) != self.name

    def _headers(
        self,
        fields: dict[str, str],
        fault: Fault,
    ) -> tuple[tuple[str, str], ...]:
        request_id = fields['x-request-id']
        if fault is Fault.OTHER_ID:
            request_id = 'another'
        headers = [('X-Request-Id', request_id), ('X-Server-Load', '1,0,8')]
        if fault is not Fault.UNSIGNED:
            headers.append(
                ('X-Response-Signature', f'{self.name}.{request_id}')
            )
        return tuple(headers)

    async def _whole(
        self,
        stream: trio.SocketStream,
        parser: h11.Connection,
        fault: Fault,
        headers: tuple[tuple[str, str], ...],
    ) -> bool:
        body = f'answer of {self.name}'.encode()
        if fault is Fault.UNFRAMED:
            head = ''.join(f'{name}: {text}\r\n' for name, text in headers)
            await stream.send_all(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
            await stream.send_all(body)
            await stream.send_eof()
            return False
        framed = (*headers, ('Content-Length', str(len(body))))
        response = h11.Response(status_code=200, headers=list(framed))
        if fault is Fault.CUT:
            await _write(stream, parser, response, h11.Data(data=body[:3]))
            return False
        await _write(
            stream,
            parser,
            response,
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        if fault is Fault.EXTRA:
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx'
            )
        return True

    async def _stream(
        self,
        stream: trio.SocketStream,
        parser: h11.Connection,
        fields: dict[str, str],
        fault: Fault,
        headers: tuple[tuple[str, str], ...],
    ) -> bool:
        typed = (
            *headers,
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        )
        head = h11.Response(status_code=200, headers=list(typed))
        await _write(stream, parser, head)
        first = int(fields.get('last-event-id', '0')) + 1
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            if number == self.events // 2 + 1:
                if fault is Fault.CUT:
                    return False
                if fault is Fault.CUT_IN_EVENT:
                    await _write(stream, parser, h11.Data(data=event[:9]))
                    return False
            await _write(stream, parser, h11.Data(data=event))
            await trio.sleep(_PAUSE_S)
        await _write(stream, parser, h11.EndOfMessage())
        return True


async def _watch(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    """Ends the work on a request when its connection closes."""
    try:
        chunk = await stream.receive_some(1)
    except trio.BrokenResourceError:
        chunk = b''
    if not chunk:
        scope.cancel()


async def _read(
    stream: trio.SocketStream,
    parser: h11.Connection,
) -> tuple[h11.Request | None, bytes]:
    request = None
    body = b''
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some(_READ_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            return request, body


async def _refuse(
    stream: trio.SocketStream,
    parser: h11.Connection,
    status: int,
    headers: tuple[tuple[str, str], ...],
) -> None:
    framed = (*headers, ('Content-Length', '0'))
    response = h11.Response(status_code=status, headers=list(framed))
    await _write(stream, parser, response, h11.EndOfMessage())


async def _write(
    stream: trio.SocketStream,
    parser: h11.Connection,
    *events: h11.Event,
) -> None:
    pieces = [parser.send(event) for event in events]
    await stream.send_all(b''.join(piece for piece in pieces if piece))


def _draw(random: Random, fault_share: float) -> Fault:
    if random.random() >= fault_share:
        return Fault.SOUND
    return random.choice(list(Fault))


def _print_run(request_id: str) -> None:
    sys.stdout.write(f'ran {request_id}\n')
    sys.stdout.flush()


def run(
    address: str,
    name: str,
    fault_share: float = 0,
    seed: int = 0,
) -> None:
    """Runs a replica until it is killed; it prints the ids that it ran.

    Args:
        address: where it listens, host:port.
        name: its own name.
        fault_share: part of the requests that meet a random fault.
        seed: seed of the faults.

    """
    host, _, port = address.rpartition(':')
    random = Random(seed)
    replica = Replica(name)
    replica.draw = lambda: _draw(random, fault_share)
    replica.note_run = _print_run

    async def serve() -> None:
        await trio.serve_tcp(replica.converse, int(port), host=host)

    trio.run(serve)


if __name__ == '__main__':
    fire.Fire(run)
