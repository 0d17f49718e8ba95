"""Tests of the HTTP interface: problem documents, entries, streaming."""

from types import MappingProxyType

import trio

from masticstage.caller_api import create_app
from tests.builders import TEAM_KEY, build_document, build_end, build_event
from tests.fakes import add_member, build_test_instance

KEY = MappingProxyType({'Authorization': f'Bearer {TEAM_KEY}'})
CHAT = '/v1/chat/completions'
MESSAGES = ({'role': 'user', 'content': 'hi'},)
CHAT_REQUEST = MappingProxyType({'model': 'model', 'messages': list(MESSAGES)})


def run_with_client(test):
    async def run():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                instance = build_test_instance(nursery, build_document())
                await test(instance, create_app(instance).test_client())
                nursery.cancel_scope.cancel()

    trio.run(run)


async def check_problem(response, status, code):
    document = await response.get_json(force=True)
    assert response.status_code == status
    assert response.content_type == 'application/problem+json'
    assert document['type'] == f'urn:masticstage:{code}'
    assert document['request_id']
    assert document['configuration_version'] == 1
    return document


def test_malformed_json_is_refused():
    async def check(_, client):
        response = await client.post(CHAT, data=b'{"model', headers=KEY)
        problem = await check_problem(response, 400, 'invalid-request')
        assert problem['outcome'] == 'not_run'

    run_with_client(check)


def test_body_that_is_not_utf8_is_refused():
    async def check(_, client):
        response = await client.post(CHAT, data=b'\xff\xfe', headers=KEY)
        await check_problem(response, 400, 'invalid-request')

    run_with_client(check)


def test_unknown_model_is_refused():
    async def check(_, client):
        body = {**CHAT_REQUEST, 'model': 'none'}
        response = await client.post(CHAT, json=body, headers=KEY)
        await check_problem(response, 404, 'unknown-service')

    run_with_client(check)


def test_malformed_request_id_is_replaced():
    async def check(_, client):
        for given in ('a/../b', 'a?b', 'a b', 'x' * 65):
            headers = {**KEY, 'X-Request-Id': given}
            response = await client.post(CHAT, data=b'{', headers=headers)
            problem = await check_problem(response, 400, 'invalid-request')
            assert problem['request_id'].isalnum()
            assert problem['request_id'] != given

    run_with_client(check)


def test_request_id_of_the_caller_is_kept():
    async def check(_, client):
        headers = {**KEY, 'X-Request-Id': 'order-7_b'}
        response = await client.post(CHAT, data=b'{', headers=headers)
        problem = await check_problem(response, 400, 'invalid-request')
        assert problem['request_id'] == 'order-7_b'

    run_with_client(check)


def test_unknown_team_is_refused():
    async def check(_, client):
        headers = {'Authorization': 'Bearer nobody'}
        response = await client.post(
            CHAT, json=dict(CHAT_REQUEST), headers=headers
        )
        await check_problem(response, 401, 'unauthenticated')

    run_with_client(check)


def test_too_large_body_is_refused():
    async def check(instance, client):
        size = instance.settings.limits.body_bytes + 1
        response = await client.post(CHAT, data=bytes(size), headers=KEY)
        await check_problem(response, 413, 'body-too-large')

    run_with_client(check)


def test_forged_session_is_refused():
    async def check(_, client):
        headers = {**KEY, 'Masticstage-Session': 'forged.token'}
        response = await client.post(
            CHAT, json=dict(CHAT_REQUEST), headers=headers
        )
        await check_problem(response, 403, 'invalid-token')

    run_with_client(check)


def test_call_without_ticket_is_refused():
    async def check(_, client):
        response = await client.post(
            '/v1/services/shop/orders',
            json={},
            headers=KEY,
        )
        await check_problem(response, 428, 'ticket-required')

    run_with_client(check)


def test_unknown_path_is_refused():
    async def check(_, client):
        response = await client.get('/nothing')
        await check_problem(response, 400, 'invalid-request')

    run_with_client(check)


def test_draining_instance_refuses_new_requests():
    async def check(instance, client):
        instance.drain.request()
        response = await client.post(CHAT, json=dict(CHAT_REQUEST), headers=KEY)
        problem = await check_problem(response, 503, 'draining')
        assert problem['outcome'] == 'not_run'
        assert response.headers['Retry-After'] == '0'

    run_with_client(check)


def test_unexpected_exception_is_an_internal_error():
    async def check(instance, client):
        instance.connections.upstreams.answers = [RuntimeError('bug')]
        response = await client.get('/v1/services/shop/stock', headers=KEY)
        problem = await check_problem(response, 500, 'internal-error')
        assert problem['outcome'] == 'unknown'

    run_with_client(check)


def test_entries_list_live_instances_nearest_first():
    async def check(instance, client):
        add_member(instance, 'b-0', 'b')
        add_member(instance, 'a-1', 'a')
        response = await client.get('/v1/entries')
        listed = await response.get_json()
        names = [entry['instance'] for entry in listed['entries']]
        assert sorted(names[:2]) == ['a-0', 'a-1']
        assert names[2:] == ['b-0']

    run_with_client(check)


def test_entries_of_a_large_fleet_are_limited():
    async def check(instance, client):
        for number in range(200):
            add_member(instance, f'b-{number}', 'b')
        for number in range(30):
            add_member(instance, f'a-{number}', 'a')
        response = await client.get('/v1/entries')
        entries = (await response.get_json())['entries']
        centres = [entry['data_centre'] for entry in entries]
        assert len(centres) == 48
        assert centres[:24] == ['a' for _ in range(24)]
        assert 'b' in centres

    run_with_client(check)


def test_answer_starts_with_its_answer_event_and_ends_with_its_end_marker():
    async def check(instance, client):
        upstreams = instance.connections.upstreams
        upstreams.starts = [[build_event(0), build_end(1)]]
        response = await client.post(CHAT, json=dict(CHAT_REQUEST), headers=KEY)
        text = await response.get_data()
        assert text.startswith(b'event: answer\n')
        assert text.endswith(build_end(1))

    run_with_client(check)
