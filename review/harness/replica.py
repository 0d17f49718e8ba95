"""A replica of the users' platform, as one process.

It answers as PROTOCOL.md says: health path, 421 for another target, streams
of events, resumption with Last-Event-Id, 504 at the deadline.  It stops a run
when the connection of the request closes.  Each line on standard output is one
JSON object that says what arrived, what ran and how that ended.

    replica.py ADDRESS ID [name=value ...]

Options: events, first_ms, pause_ms (of a stream), work_ms (of a plain call),
deadly (id of a prompt part: the process kills itself as soon as it has begun
to write an answer to a request that has the part), dying_ms (how long that takes: until
then its connections break and its health path says that it fails), cold_ms (how
long it says that it is cold).
"""

import asyncio
import json
import os
import signal
import sys
import time
from contextlib import suppress

_MS = 1000


def note(event: str, **fields: object) -> None:
    """Writes one line about what happened."""
    line = {'at': round(time.time(), 4), 'event': event, **fields}
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()


class Replica:
    """One replica: its id and its options."""

    def __init__(self, name: str, options: dict[str, str]) -> None:
        """Stores the options; numbers are in milliseconds."""
        self.name = name
        self.events = int(options.get('events', '6'))
        self.first_ms = int(options.get('first_ms', '100'))
        self.pause_ms = int(options.get('pause_ms', '50'))
        self.work_ms = int(options.get('work_ms', '20'))
        self.deadly = options.get('deadly', '')
        self.dying_ms = int(options.get('dying_ms', '0'))
        self.cold_until = time.time() * _MS + int(options.get('cold_ms', '0'))
        self.running = 0
        self.is_dying = False
        self._open: set[asyncio.StreamWriter] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests on one connection."""
        self._open.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._serve_one(reader, writer):
                continue
        self._open.discard(writer)
        with suppress(ConnectionError):
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return False
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ', 2)
        fields = {}
        for line in filter(None, lines[1:]):
            name, _, text = line.partition(':')
            fields[name.lower()] = text.strip()
        body = await reader.readexactly(int(fields.get('content-length', '0')))
        if target == '/health':
            status = 503 if self.is_dying else 200
            named = [('X-Instance-Id', self.name)]
            cold_ms = round(self.cold_until - time.time() * _MS)
            if cold_ms > 0:
                named.append(('X-Warmup-Ms', str(cold_ms)))
            self._answer(writer, status, tuple(named), b'')
            await writer.drain()
            return True
        if self.is_dying:
            writer.transport.abort()
            return False
        request = fields.get('x-request-id', '')
        wanted = fields.get('x-target-instance', self.name)
        if wanted != self.name:
            note('misdirected', request=request, wanted=wanted)
            extra = (('X-Request-Id', request), ('X-Instance-Id', self.name))
            self._answer(writer, 421, extra, b'')
            await writer.drain()
            return True
        parts = [
            part.partition(':')[0]
            for part in fields.get('x-prompt-prefix', '').split(',')
        ]
        last = fields.get('last-event-id', '')
        note('run', request=request, parts=parts, last=last, bytes=len(body))
        self.running += 1
        work = asyncio.ensure_future(
            self._run(writer, request, parts, fields, last)
        )
        # Nothing may come before the answer, so a read tells of the close.
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, closed}, return_when='FIRST_COMPLETED')
        self.running -= 1
        if not work.done():
            work.cancel()
            with suppress(asyncio.CancelledError, ConnectionError):
                await work
            note('stopped', request=request)
            writer.transport.abort()
            return False
        work.result()
        note('end', request=request)
        closed.cancel()
        with suppress(asyncio.CancelledError, ConnectionError):
            # A byte or the end came before the answer was read: no reuse.
            await closed
            return False
        return True

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        request: str,
        parts: list[str],
        fields: dict[str, str],
        last: str,
    ) -> None:
        signed = (
            ('X-Request-Id', request),
            ('X-Response-Signature', f'{self.name}.{request}'),
            ('X-Server-Load', f'{self.running},0,64'),
        )
        left_s = float(fields.get('x-deadline-ms', '60000')) / _MS
        is_stream = 'x-token-counts' in fields
        work = self._stream if is_stream else self._call
        try:
            await asyncio.wait_for(work(writer, signed, parts, last), left_s)
        except TimeoutError:
            note('deadline', request=request)
            if is_stream:
                writer.transport.abort()
            else:
                self._answer(writer, 504, signed, b'')
        await writer.drain()

    async def _call(
        self,
        writer: asyncio.StreamWriter,
        signed: tuple[tuple[str, str], ...],
        parts: list[str],
        last: str,
    ) -> None:
        await asyncio.sleep(self.work_ms / _MS)
        self._answer(writer, 200, signed, f'answer of {self.name}'.encode())

    async def _stream(
        self,
        writer: asyncio.StreamWriter,
        signed: tuple[tuple[str, str], ...],
        parts: list[str],
        last: str,
    ) -> None:
        await asyncio.sleep(self.first_ms / _MS)
        framing = (
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        )
        writer.write(_head(200, (*signed, *framing)))
        await writer.drain()
        if self.deadly and self.deadly in parts:
            self._crash()
        for number in range(int(last or '0') + 1, self.events + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.pause_ms / _MS)
        writer.write(b'0\r\n\r\n')

    def _crash(self) -> None:
        """Ends the process, at once or after a moment without service."""
        note('crash', part=self.deadly)
        self.is_dying = True
        if not self.dying_ms:
            _end()
        for writer in self._open:
            writer.transport.abort()
        asyncio.get_running_loop().call_later(self.dying_ms / _MS, _end)

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        length = ('Content-Length', str(len(body)))
        writer.write(_head(status, (*headers, length)) + body)


def _end() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


def _head(status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
    lines = ''.join(f'{name}: {text}\r\n' for name, text in headers)
    return f'HTTP/1.1 {status} Status\r\n{lines}\r\n'.encode('latin-1')


async def _main(address: str, name: str, *pairs: str) -> None:
    options = dict(pair.split('=', 1) for pair in pairs)
    host, _, port = address.rpartition(':')
    replica = Replica(name, options)
    server = await asyncio.start_server(replica.serve, host, int(port))
    note('started', replica=name)
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main(*sys.argv[1:]))
