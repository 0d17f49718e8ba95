"""A store whose open connections may go silent, on the clock of trio."""

from datetime import datetime, timedelta

import attrs
import httpx
import trio

from standins.store import Store, create_app

#: One-way delay between two regions.
_DELAY_S = 0.055
#: First intervals after which a connection request and data are sent again.
_CONNECT_RETRY_S = 1.0
_DATA_RETRY_S = 0.2


class TrioClock:
    """Reads the clock of the running trio loop, which a test may accelerate."""

    def now(self):
        """Returns a time of day."""
        return datetime.fromtimestamp(trio.current_time())

    def elapsed(self):
        """Returns the time since the start of the loop's clock."""
        return timedelta(seconds=trio.current_time())


@attrs.define
class _OpenConnection:
    """A connection, which no longer carries anything once it is silent."""

    is_silent: bool = False


@attrs.define(eq=False)
class SilentTransport(httpx.AsyncBaseTransport):
    """Carries the calls of one client on one kept connection.

    `is_cut` lets no new connection through either. While `is_rejecting`, the
    store answers that its rate limit is exceeded.
    """

    store: Store = attrs.field(factory=Store)
    is_cut: bool = False
    is_rejecting: bool = False
    _connection: _OpenConnection | None = None
    _app: httpx.ASGITransport = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Creates the application of the store."""
        self._app = httpx.ASGITransport(app=create_app(self.store))

    def silence(self):
        """Makes the open connection silent; a new one works."""
        if self._connection is not None:
            self._connection.is_silent = True

    async def handle_async_request(self, request):
        """Sends a request; closes the connection unless it is answered."""
        timeout_s = request.extensions['timeout']['read']
        try:
            with trio.fail_after(timeout_s or 60):
                return await self._call(request)
        except trio.TooSlowError as error:
            self._connection = None
            raise httpx.ReadTimeout('silent') from error
        except trio.Cancelled:
            self._connection = None
            raise

    async def _call(self, request):
        if self._connection is None:
            await trio.sleep(2 * _DELAY_S)
            await _retransmit_while(lambda: self.is_cut, _CONNECT_RETRY_S)
            self._connection = _OpenConnection()
        connection = self._connection

        def is_blocked():
            return self.is_cut or connection.is_silent

        await _retransmit_while(is_blocked, _DATA_RETRY_S)
        await trio.sleep(_DELAY_S)
        if self.is_rejecting:
            return httpx.Response(429)
        answer = await self._app.handle_async_request(request)
        await trio.sleep(_DELAY_S)
        await _retransmit_while(is_blocked, _DATA_RETRY_S)
        return answer


async def _retransmit_while(is_blocked, interval_s):
    """Sends again after ever longer intervals, as TCP does."""
    while is_blocked():
        await trio.sleep(interval_s)
        interval_s *= 2
