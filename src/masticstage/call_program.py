"""The program masticstage-call: the reference caller on the command line."""

import json
import sys
from collections.abc import Awaitable, Callable
from random import Random
from types import MappingProxyType
from typing import Final
from uuid import uuid4

import fire
import trio

from masticstage.caller import (
    AnswerIncompleteError,
    Caller,
    CallRefusedError,
)
from masticstage.exits import Exit
from masticstage.outcomes import Outcome

_TIMEOUT_S: Final = 60.0
_EXIT_BY_OUTCOME: Final = MappingProxyType(
    {
        Outcome.RAN: Exit.OK,
        Outcome.NOT_RUN: Exit.REFUSED,
        Outcome.UNKNOWN: Exit.UNKNOWN_OUTCOME,
    }
)


def ask(entry: str, key: str, model: str, text: str, kind: str = '') -> None:
    """Asks a model and prints its complete answer.

    Args:
        entry: caller address of any instance (http://host:port).
        key: the team's key.
        model: name of the model service.
        text: the question.
        kind: kind of the request; the first kind when empty.

    """
    body = {
        'model': model,
        'stream': True,
        'messages': [{'role': 'user', 'content': text}],
    }

    async def send(caller: Caller) -> Exit:
        answer = await caller.ask(body, kind, uuid4().hex, _TIMEOUT_S)
        sys.stdout.write(f'{answer.text}\n')
        return Exit.OK

    _run_and_exit(entry, key, send)


def look_up(entry: str, key: str, service: str, path: str) -> None:
    """Sends an idempotent call, with retries, and prints its answer.

    Args:
        entry: caller address of any instance (http://host:port).
        key: the team's key.
        service: name of the application.
        path: path and query of the call.

    """

    async def send(caller: Caller) -> Exit:
        answer = await caller.look_up(service, path, uuid4().hex, _TIMEOUT_S)
        sys.stdout.write(f'{answer.body.decode()}\n')
        return Exit.OK

    _run_and_exit(entry, key, send)


def run_once(entry: str, key: str, service: str, path: str, body: str) -> None:
    """Runs a call at most once and prints its outcome.

    Args:
        entry: caller address of any instance (http://host:port).
        key: the team's key.
        service: name of the application.
        path: path of the call.
        body: JSON body of the call.

    """
    encoded = body.encode() if isinstance(body, str) else json.dumps(body)

    async def send(caller: Caller) -> Exit:
        call_result = await caller.run_once(
            service,
            path,
            encoded if isinstance(encoded, bytes) else encoded.encode(),
            uuid4().hex,
            _TIMEOUT_S,
        )
        outcome = call_result.outcome
        sys.stdout.write(f'{outcome.outcome.value}\n')
        if outcome.answer is not None:
            sys.stdout.write(f'{outcome.answer.body.decode()}\n')
        return _EXIT_BY_OUTCOME[outcome.outcome]

    _run_and_exit(entry, key, send)


def main() -> None:
    """Entry point of the program."""
    fire.Fire({'ask': ask, 'look-up': look_up, 'run-once': run_once})


def _run_and_exit(
    entry: str,
    key: str,
    send: Callable[[Caller], Awaitable[Exit]],
) -> None:
    async def run() -> Exit:
        random = Random()  # noqa: S311 (spreads load; not for secrets)
        caller = Caller((entry,), str(key), random)
        try:
            return await send(caller)
        except CallRefusedError as error:
            sys.stderr.write(f'{json.dumps(dict(error.problem))}\n')
            return Exit.REFUSED
        except AnswerIncompleteError as error:
            sys.stderr.write(f'{error}\n')
            return Exit.FAILED
        finally:
            await caller.close()

    sys.exit(trio.run(run))
