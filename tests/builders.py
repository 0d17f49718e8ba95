"""Builders of test data for instances with masticstage's own interface."""

import hashlib
from datetime import timedelta
from typing import Any

import attrs

from masticstage.clock import ManualClock, to_milliseconds
from masticstage.configuration import Catalogue, check_configuration
from masticstage.membership import Liveness, Member, MemberId
from masticstage.requests import Request
from masticstage.tokens import Ticket

OWNER = MemberId('a-0', 1)
WITNESS = MemberId('a-1', 1)
TEAM_KEY = 'key-of-north'


def build_document(**changes: Any) -> dict[str, Any]:
    """Returns a configuration of two regions with one data centre each."""
    document: dict[str, Any] = {
        'deployment': 'test',
        'weights': {'latency': 1.0, 'traffic': 1.0, 'sent_away': 1.0},
        'regions': [
            {'name': 'north', 'data_centres': ['a']},
            {'name': 'south', 'data_centres': ['b']},
        ],
        'teams': [build_team('north'), build_team('south')],
        'services': [
            {
                'name': 'model',
                'type': 'model',
                'kinds': [
                    {'name': 'open', 'regions': ['north', 'south']},
                    {
                        'name': 'private',
                        'regions': ['north', 'south'],
                        'bound_to_home': True,
                    },
                ],
            },
            {
                'name': 'shop',
                'type': 'application',
                'kinds': [
                    {'name': 'once', 'regions': ['north'], 'path': '/orders'},
                    {
                        'name': 'look-up',
                        'regions': ['north'],
                        'method': 'GET',
                        'path': '/stock',
                        'idempotent': True,
                    },
                ],
            },
        ],
        'upstreams': [
            build_upstream('a'),
            build_upstream('a', 1),
            build_upstream('b'),
            build_upstream('a', 0, 'shop'),
        ],
    }
    document.update(changes)
    return document


def build_team(home: str) -> dict[str, Any]:
    """Returns the settings of a team with a home region."""
    key = f'key-of-{home}'.encode()
    return {
        'name': f'team-{home}',
        'home': home,
        'key_sha256': hashlib.sha256(key).hexdigest(),
    }


def build_upstream(
    data_centre: str,
    number: int = 0,
    service: str = 'model',
) -> dict[str, Any]:
    """Returns the settings of an upstream."""
    return {
        'name': f'{data_centre}-{service}-{number}',
        'service': service,
        'data_centre': data_centre,
        'address': 'http://127.0.0.1:1',
    }


def build_request(
    catalogue: Catalogue,
    kind: str = 'open',
    **changes: Any,
) -> Request:
    """Returns a model request of the team whose home is `north`."""
    body = b'{"model":"model","messages":[{"role":"user","content":"hi"}]}'
    fields: dict[str, Any] = {
        'request_id': 'request',
        'team': catalogue.teams['team-north'],
        'service': 'model',
        'kind': catalogue.find_kind('model', kind),
        'method': 'POST',
        'target': '/v1/chat/completions',
        'body': body,
        'deadline': timedelta(seconds=10),
    }
    fields.update(changes)
    return Request(**fields)


def build_call(catalogue: Catalogue, kind: str, **changes: Any) -> Request:
    """Returns an application call of the team whose home is `north`."""
    request = build_request(catalogue, service='shop', **changes)
    call_kind = catalogue.find_kind('shop', kind)
    return attrs.evolve(request, kind=call_kind, target='/orders')


def build_event(index: int, text: str = 'word') -> bytes:
    """Returns the event of one token in an engine's stream."""
    return f'id: {index}\ndata: {{"content": "{text}"}}\n\n'.encode()


def build_end(index: int) -> bytes:
    """Returns the last event of an engine's stream."""
    return f'id: {index}\ndata: [DONE]\n\n'.encode()


def build_catalogue(version: int = 1, **changes: Any) -> Catalogue:
    """Returns a validated configuration."""
    return check_configuration(version, build_document(**changes)).unwrap()


def build_ticket(
    clock: ManualClock,
    ticket_id: str = 'ticket',
    witness: MemberId | None = WITNESS,
) -> Ticket:
    """Returns a ticket that expires in ten minutes."""
    expires_at = clock.now() + timedelta(minutes=10)
    return Ticket(
        ticket_id,
        OWNER,
        witness,
        'a',
        'north',
        'team-north',
        'shop',
        to_milliseconds(expires_at),
        1,
    )


def build_member(
    name: str,
    *,
    incarnation: int = 1,
    heartbeat: int = 0,
    liveness: Liveness = Liveness.LIVE,
    data_centre: str = 'a',
) -> Member:
    """Returns a member record."""
    return Member(
        MemberId(name, incarnation),
        data_centre,
        'north',
        f'{name}:1',
        f'{name}:2',
        liveness,
        heartbeat,
    )
