"""Stand-in for the platform, which instances read and watch.

The routes below `/control` are for tests. They publish values, change the
directory, and make the platform unavailable or stale.
"""

import json
from http import HTTPStatus
from typing import Any, final

import attrs
import fire
import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins.serving import serve_app


@final
@attrs.define(eq=False)
class Platform:
    """Published values, the directory, and the faults of the platform.

    While `shown_version` is set, the platform is stale: readers get that
    version of `history`.
    """

    version: int = 0
    history: dict[int, dict[str, Any]] = attrs.field(factory=dict)
    directory: dict[str, Any] = attrs.field(
        factory=lambda: {'instances': [], 'upstreams': []},
    )
    is_down: bool = False
    shown_version: int | None = None
    calls: int = 0
    changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def visible_version(self) -> int:
        """Version that readers get; an earlier one while it is stale."""
        return (
            self.version if self.shown_version is None else (self.shown_version)
        )

    def must_wait(self, above: int) -> bool:
        """Returns whether a watch waits for a version above this one.

        It does not wait while the platform is stale or unavailable.
        """
        if self.is_down or self.shown_version is not None:
            return False
        return self.version <= above

    def publish(self, version: int, document: dict[str, Any]) -> None:
        """Publishes a value and wakes the watches."""
        self.version = version
        self.history[version] = document
        self._wake()

    def set_mode(self, *, is_down: bool, shown_version: int | None) -> None:
        """Makes the platform unavailable, stale or normal."""
        self.is_down = is_down
        self.shown_version = shown_version
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


def create_app(platform: Platform) -> QuartTrio:
    """Returns the platform's web application."""
    app = QuartTrio('platform')
    app.config['MAX_CONTENT_LENGTH'] = None

    @app.get('/configuration')
    async def configuration() -> Response:
        platform.calls += 1
        above = int(request.args['above'])
        with trio.move_on_after(float(request.args['wait_s'])):
            while platform.must_wait(above):
                await platform.changed.wait()
        if platform.is_down:
            return Response('down', status=HTTPStatus.SERVICE_UNAVAILABLE)
        version = platform.visible_version
        if version == above or version not in platform.history:
            return _json({'version': 0})
        return _json({'version': version, 'value': platform.history[version]})

    @app.get('/directory')
    async def directory() -> Response:
        platform.calls += 1
        if platform.is_down:
            return Response('down', status=HTTPStatus.SERVICE_UNAVAILABLE)
        return _json(platform.directory)

    @app.post('/control/publish')
    async def publish() -> Response:
        fields = await request.get_json()
        platform.publish(fields['version'], fields['value'])
        return _json({'calls': platform.calls})

    @app.post('/control/directory')
    async def set_directory() -> Response:
        platform.directory = await request.get_json()
        return _json({'calls': platform.calls})

    @app.post('/control/mode')
    async def set_mode() -> Response:
        fields = await request.get_json()
        platform.set_mode(
            is_down=fields.get('is_down', False),
            shown_version=fields.get('shown_version'),
        )
        return _json({'calls': platform.calls})

    return app


def _json(fields: dict[str, Any]) -> Response:
    return Response(json.dumps(fields), mimetype='application/json')


def run(address: str) -> None:
    """Runs the platform until it is killed."""
    trio.run(serve_app, create_app(Platform()), address)


if __name__ == '__main__':
    fire.Fire(run)
