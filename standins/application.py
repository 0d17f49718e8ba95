"""Stand-in for an application with calls and lookups.

Each call is written to the event log before it is answered; lookups are not.
"""

import json
import os
from time import time

import fire
import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins.event_log import EventLog
from standins.serving import serve_app


def create_app(event_log: EventLog, delay_s: float) -> QuartTrio:
    """Returns the application's web application."""
    app = QuartTrio('application')
    incarnation = round(time() * 1000)
    open_calls: list[int] = []

    @app.post('/<path:path>')
    async def execute(path: str) -> Response:
        body = await request.get_json()
        event_log.write('executed', path=path, call=body['call'])
        open_calls.append(1)
        await trio.sleep(body.get('delay_s', delay_s))
        open_calls.pop()
        if body.get('crash'):
            os._exit(1)
        answer = {'call': body['call'], 'done': True}
        return Response(json.dumps(answer), mimetype='application/json')

    @app.get('/load')
    async def load() -> Response:
        report = {
            'incarnation': incarnation,
            'reported_ms': round(time() * 1000),
            'queued': 0,
            'running': len(open_calls),
        }
        return Response(json.dumps(report), mimetype='application/json')

    @app.get('/<path:path>')
    async def look_up(path: str) -> Response:
        await trio.sleep(delay_s)
        answer = {'path': path, 'query': request.query_string.decode()}
        return Response(json.dumps(answer), mimetype='application/json')

    return app


def run(name: str, address: str, record: str, delay_s: float = 0.01) -> None:
    """Runs an application until it is killed."""
    app = create_app(EventLog(record), delay_s)
    app.name = name
    trio.run(serve_app, app, address)


if __name__ == '__main__':
    fire.Fire(run)
