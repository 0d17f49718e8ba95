"""Reads requests and writes answers of the stand-in for an upstream."""

from typing import Final

import h11
import trio

#: Body of an error; it looks like an event, since a blank line ends it.
ERROR_TEXT: Final = b'error: out of memory\n\n'
_READ_BYTES: Final = 65536


async def cancel_on_close(
    stream: trio.SocketStream, scope: trio.CancelScope
) -> None:
    """Cancels the work on a request when its connection closes."""
    try:
        chunk = await stream.receive_some(1)
    except trio.BrokenResourceError:
        chunk = b''
    if not chunk:
        scope.cancel()


async def read_head(
    stream: trio.SocketStream,
    parser: h11.Connection,
) -> h11.Request | None:
    """Returns the head of a request; None at the end of the stream."""
    event = await _next_event(stream, parser)
    return event if isinstance(event, h11.Request) else None


async def read_body(
    stream: trio.SocketStream,
    parser: h11.Connection,
) -> bytes:
    """Returns the body of a request."""
    body = b''
    event = await _next_event(stream, parser)
    while isinstance(event, h11.Data):
        body += bytes(event.data)
        event = await _next_event(stream, parser)
    return body


async def _next_event(
    stream: trio.SocketStream,
    parser: h11.Connection,
) -> object:
    event = parser.next_event()
    while event is h11.NEED_DATA:
        parser.receive_data(await stream.receive_some(_READ_BYTES))
        event = parser.next_event()
    return event


async def send_empty_answer(
    stream: trio.SocketStream,
    parser: h11.Connection,
    status: int,
    headers: tuple[tuple[str, str], ...],
) -> bytes:
    """Returns what was written."""
    framed_headers = (*headers, ('Content-Length', '0'))
    response = h11.Response(status_code=status, headers=list(framed_headers))
    return await write(stream, parser, response, h11.EndOfMessage())


async def send_text(
    stream: trio.SocketStream,
    parser: h11.Connection,
    status: int,
    headers: tuple[tuple[str, str], ...],
) -> None:
    """Answers with a text about an error."""
    text_headers = (
        *headers,
        ('Content-Type', 'text/plain'),
        ('Content-Length', str(len(ERROR_TEXT))),
    )
    await write(
        stream,
        parser,
        h11.Response(status_code=status, headers=list(text_headers)),
        h11.Data(data=ERROR_TEXT),
        h11.EndOfMessage(),
    )


async def write(
    stream: trio.SocketStream,
    parser: h11.Connection,
    *events: h11.Event,
) -> bytes:
    """Writes events; returns their bytes."""
    chunks = [parser.send(event) for event in events]
    written = b''.join(chunk for chunk in chunks if chunk)
    await stream.send_all(written)
    return written
