"""Stand-in for the users' platform: a key-value store with watches.

It implements the part of the protocol that the gateway uses. The routes below
`/control` are for tests: they write or delete records, drop the history, make
the store unavailable and restore it from an older copy.
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

    `history` has the events after `compacted_revision`, `writes` all that
    a restored copy may consist of. `era` counts the restores.
    """

    revision: int = 0
    records: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    history: list[dict[str, Any]] = attrs.field(factory=list)
    compacted_revision: int = 0
    is_down: bool = False
    calls: int = 0
    era: int = 0
    writes: list[dict[str, Any]] = attrs.field(factory=list)
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

    def roll_back(self, lost_writes: int) -> list[dict[str, Any]]:
        """Restores a copy without the last writes.

        Returns the last lost event of each key, in their order.
        """
        self.revision = max(0, self.revision - lost_writes)
        end = self.revision
        lost = {event['Key']: event for event in self.writes[end:]}
        self.writes = self.writes[:end]
        self.records = {}
        for event in self.writes:
            self.records.pop(event['Key'], None)
            if not event.get('Deleted'):
                self.records[event['Key']] = event
        self.history = [
            event
            for event in self.history
            if event['Revision'] <= self.revision
        ]
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.era += 1
        self._wake_watches()
        return list(lost.values())

    def events_after(self, revision: int, prefix: str) -> list[dict[str, Any]]:
        """Returns the events after a revision, of keys with a prefix."""
        return [
            event
            for event in self.history
            if event['Revision'] > revision and event['Key'].startswith(prefix)
        ]

    def era_headers(self) -> dict[str, str]:
        """Returns the headers of all answers, none before the first restore."""
        return {'Store-Era': str(self.era)} if self.era else {}

    async def wait_for_events(
        self, revision: int, prefix: str, wait_s: float
    ) -> bool:
        """Waits for events; returns False if the store is rolled back."""
        era = self.era
        with trio.move_on_after(wait_s):
            while era == self.era and not self.events_after(revision, prefix):
                await self.changed.wait()
        return era == self.era

    def _append_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self.writes.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
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

    @app.after_request
    async def add_era(response: Response) -> Response:
        response.headers.update(store.era_headers())
        return response

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
        if not store.compacted_revision <= after <= store.revision:
            return _answer({}, HTTPStatus.GONE)
        wait_s = int(request.args['WaitMs']) / _MS_PER_S
        if not await store.wait_for_events(after, prefix, wait_s):
            return _answer({}, HTTPStatus.GONE)
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
        lost_writes = int(fields.get('lost_writes', 0))
        lost = store.roll_back(lost_writes) if lost_writes else []
        store.is_down = bool(fields.get('is_down'))
        if fields.get('compact'):
            store.compact()
        for key in fields.get('delete', ()):
            store.delete(key)
        return _answer({'calls': store.calls, 'lost': lost})

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
