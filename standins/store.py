"""Stand-in for the users' platform: a key-value store with watches.

It implements the part of the protocol that the gateway uses. The routes below
`/control` are for tests: they write or delete records, drop the history and
make the store unavailable.
"""

import base64
import json
from http import HTTPStatus
from typing import Any, final

import attrs
import fire
import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins.serving import serve_app

_PAGE_SIZE = 50
_MS_PER_S = 1000


@final
@attrs.define(eq=False)
class Store:
    """The records, their history, and the faults of the store.

    `history` has the events after `compacted_revision`.
    """

    revision: int = 0
    records: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    history: list[dict[str, Any]] = attrs.field(factory=list)
    compacted_revision: int = 0
    is_down: bool = False
    calls: int = 0
    changed: trio.Event = attrs.field(factory=trio.Event)

    def put(self, key: str, document: object) -> None:
        """Writes a record."""
        self.revision += 1
        encoded = base64.b64encode(json.dumps(document).encode()).decode()
        record = {'Key': key, 'Value': encoded, 'Revision': self.revision}
        self.records[key] = record
        self._append_event(record)

    def delete(self, key: str) -> None:
        """Deletes a record."""
        if self.records.pop(key, None) is not None:
            self.revision += 1
            event = {'Key': key, 'Revision': self.revision, 'Deleted': True}
            self._append_event(event)

    def compact(self) -> None:
        """Drops the history; watches from earlier revisions get 410 Gone."""
        self.history.clear()
        self.compacted_revision = self.revision

    def events_after(self, revision: int, prefix: str) -> list[dict[str, Any]]:
        """Returns the events after a revision, of keys with a prefix."""
        return [
            event
            for event in self.history
            if event['Revision'] > revision and event['Key'].startswith(prefix)
        ]

    def _append_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = trio.Event()


def create_app(store: Store) -> QuartTrio:
    """Returns the store's web application."""
    app = QuartTrio('store')

    @app.before_request
    async def refuse_when_down() -> Response | None:
        if store.is_down and not request.path.startswith('/control'):
            return _answer({}, HTTPStatus.SERVICE_UNAVAILABLE)
        store.calls += 1
        return None

    @app.get('/-/kv-range')
    async def read_range() -> Response:
        prefix = request.args['PathPrefix']
        after = request.args.get('after', '')
        keys = sorted(
            key
            for key in store.records
            if key.startswith(prefix) and key > after
        )
        return _answer(
            {
                'items': [store.records[key] for key in keys[:_PAGE_SIZE]],
                'MorePages': len(keys) > _PAGE_SIZE,
                'CurrentRev': store.revision,
            }
        )

    @app.get('/-/kv-watch')
    async def watch() -> Response:
        prefix = request.args['PathPrefix']
        after = int(request.args['after'])
        if after < store.compacted_revision:
            return _answer({}, HTTPStatus.GONE)
        with trio.move_on_after(int(request.args['WaitMs']) / _MS_PER_S):
            while not store.events_after(after, prefix):
                await store.changed.wait()
        return _answer(
            {
                'events': store.events_after(after, prefix),
                'CurrentRev': store.revision,
            }
        )

    @app.post('/control/put')
    async def put() -> Response:
        fields = await request.get_json()
        store.put(fields['key'], fields['document'])
        return _answer({'revision': store.revision})

    @app.post('/control/mode')
    async def set_mode() -> Response:
        fields = await request.get_json()
        store.is_down = bool(fields.get('is_down'))
        if fields.get('compact'):
            store.compact()
        for key in fields.get('delete', ()):
            store.delete(key)
        return _answer({'calls': store.calls})

    return app


def _answer(
    fields: dict[str, Any],
    status: HTTPStatus = HTTPStatus.OK,
) -> Response:
    return Response(
        json.dumps(fields),
        status=status,
        mimetype='application/json',
    )


def run(address: str) -> None:
    """Runs the store until it is killed."""
    trio.run(serve_app, create_app(Store()), address)


if __name__ == '__main__':
    fire.Fire(run)
