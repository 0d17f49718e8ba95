"""The HTTP interface for callers, metrics collectors and operators."""

import hashlib
import json
import re
from collections.abc import AsyncIterator
from typing import Final
from uuid import uuid4

from quart import Response, g
from quart import request as http_request
from quart.wrappers import Request as HttpRequest
from quart_trio import QuartTrio
from werkzeug.exceptions import (
    HTTPException,
    InternalServerError,
    RequestEntityTooLarge,
)

from masticstage.audit import Event
from masticstage.bodies import parse_json_object
from masticstage.clock import milliseconds
from masticstage.configuration import Catalogue
from masticstage.configuration_schema import Kind, Team
from masticstage.exceptions import (
    BodyTooLargeError,
    InternalError,
    InvalidRequestError,
    InvalidTokenError,
    MasticstageError,
    UnauthenticatedError,
    UnknownServiceError,
)
from masticstage.instance import Instance
from masticstage.requests import (
    JSON_TYPE,
    KIND_HEADER,
    REQUEST_ID_HEADER,
    SESSION_HEADER,
    TICKET_HEADER,
    TICKET_TARGET,
    Reply,
    Request,
)
from masticstage.results import unwrap_or_raise
from masticstage.serving import refuse, serve
from masticstage.status import describe_entries, describe_instance
from masticstage.tokens import Session

_APP_NAME: Final = 'masticstage.web'
_SERVICES_PATH: Final = '/v1/services'
_METHODS: Final = ('GET', 'POST', 'PUT', 'DELETE')
_MAX_REQUEST_ID_LENGTH: Final = 64


def create_app(instance: Instance) -> QuartTrio:
    """Returns the web application of an instance."""
    app = QuartTrio(_APP_NAME)
    app.config['MAX_CONTENT_LENGTH'] = instance.settings.limits.body_bytes
    app.config['RESPONSE_TIMEOUT'] = None
    app.config['BODY_TIMEOUT'] = (
        instance.settings.timing.stream_silence_ms / 1000
    )
    _add_caller_routes(app, instance)
    _add_operator_routes(app, instance)
    _add_error_handlers(app, instance)
    return app


def _add_caller_routes(app: QuartTrio, instance: Instance) -> None:
    @app.get('/v1/entries')
    async def entries() -> Response:
        return _json_response(describe_entries(instance))

    @app.post('/v1/chat/completions')
    async def chat() -> Response:
        return _to_response(
            await serve(instance, await _read_model_request(instance)),
        )

    @app.post(TICKET_TARGET)
    async def tickets() -> Response:
        return _to_response(
            await serve(instance, await _read_ticket_request(instance)),
        )

    @app.route(f'{_SERVICES_PATH}/<service>/<path:rest>', methods=_METHODS)
    async def call(service: str, rest: str) -> Response:
        request = await _read_call_request(instance, service, rest)
        return _to_response(await serve(instance, request))


def _add_operator_routes(app: QuartTrio, instance: Instance) -> None:
    @app.get('/healthz')
    async def health() -> Response:
        return Response('ok\n', content_type='text/plain')

    @app.get('/readyz')
    async def ready() -> Response:
        instance.check_accepting()
        return Response('ready\n', content_type='text/plain')

    @app.get('/metrics')
    async def metrics() -> Response:
        return Response(
            instance.metrics.render(),
            content_type='text/plain; version=0.0.4',
        )

    @app.get('/v1/status')
    async def status() -> Response:
        subject = http_request.args.get('about', '')
        return _json_response(describe_instance(instance, subject))


def _add_error_handlers(app: QuartTrio, instance: Instance) -> None:
    @app.errorhandler(MasticstageError)
    async def failed(error: MasticstageError) -> Response:
        return _problem_response(instance, error)

    @app.errorhandler(RequestEntityTooLarge)
    async def too_large(_: RequestEntityTooLarge) -> Response:
        limit = instance.settings.limits.body_bytes
        error = BodyTooLargeError(limit)
        return _problem_response(instance, error)

    @app.errorhandler(InternalServerError)
    async def unexpected(_: InternalServerError) -> Response:
        return _problem_response(instance, InternalError())

    @app.errorhandler(HTTPException)
    async def invalid(error: HTTPException) -> Response:
        failure = InvalidRequestError(error.description or error.name)
        return _problem_response(instance, failure)


def _problem_response(instance: Instance, error: MasticstageError) -> Response:
    ticket = http_request.headers.get(TICKET_HEADER, '')
    return _to_response(refuse(instance, error, _request_id(), ticket))


async def _read_model_request(instance: Instance) -> Request:
    catalogue = instance.check_accepting()
    team = _authenticate(instance, catalogue)
    body = await _read_body()
    service = str(parse_json_object(body).get('model', ''))
    kind = _find_model_kind(catalogue, service)
    token = http_request.headers.get(SESSION_HEADER, '')
    return Request(
        _request_id(),
        team,
        service,
        kind,
        'POST',
        http_request.path,
        body,
        instance.clock.elapsed() + milliseconds(kind.timeout_ms),
        session=_verify_session(instance, team, service, token),
        session_token=token,
        last_index=_read_last_index(),
        configuration_version=catalogue.version,
    )


async def _read_ticket_request(instance: Instance) -> Request:
    catalogue = instance.check_accepting()
    team = _authenticate(instance, catalogue)
    document = parse_json_object(await _read_body())
    service = str(document.get('service', ''))
    kind_name = str(document.get('kind', ''))
    kind = catalogue.find_kind(service, kind_name)
    if kind is None or catalogue.services[service].type != 'application':
        raise UnknownServiceError(service, kind_name)
    return Request(
        _request_id(),
        team,
        service,
        kind,
        'POST',
        TICKET_TARGET,
        b'',
        instance.clock.elapsed() + milliseconds(kind.timeout_ms),
        configuration_version=catalogue.version,
    )


async def _read_call_request(
    instance: Instance,
    service: str,
    rest: str,
) -> Request:
    catalogue = instance.catalogue()
    team = _authenticate(instance, catalogue)
    kind = catalogue.match_kind(service, http_request.method, f'/{rest}')
    if kind is None:
        raise UnknownServiceError(service, f'{http_request.method} /{rest}')
    ticket = http_request.headers.get(TICKET_HEADER, '')
    return Request(
        _request_id(),
        team,
        service,
        kind,
        http_request.method,
        _target_with_query(f'/{rest}'),
        await _read_body(),
        instance.clock.elapsed() + milliseconds(kind.timeout_ms),
        content_type=http_request.content_type or JSON_TYPE,
        ticket='' if kind.idempotent else ticket,
        configuration_version=catalogue.version,
    )


def _authenticate(instance: Instance, catalogue: Catalogue) -> Team:
    scheme, _, key = http_request.headers.get('Authorization', '').partition(
        ' ',
    )
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    team = catalogue.teams_by_key.get(digest)
    if team is None or scheme.lower() != 'bearer':
        instance.audit.record(
            Event.TOKEN_REFUSED, _request_id(), 'no valid team key'
        )
        raise UnauthenticatedError
    return team


def _find_model_kind(catalogue: Catalogue, service: str) -> Kind:
    kind_name = http_request.headers.get(KIND_HEADER, '')
    kind = catalogue.find_kind(service, kind_name)
    if kind is None or catalogue.services[service].type != 'model':
        raise UnknownServiceError(service, kind_name)
    return kind


def _verify_session(
    instance: Instance,
    team: Team,
    service: str,
    token: str,
) -> Session | None:
    if not token:
        return None
    session = unwrap_or_raise(instance.signer.verify_session(token))
    if (session.team, session.service) != (team.name, service):
        instance.audit.record(
            Event.TOKEN_REFUSED,
            _request_id(),
            'session of another team or service',
        )
        raise InvalidTokenError('a session of this team and service')
    return session


def _read_last_index() -> int:
    text = http_request.headers.get('Last-Event-ID', '-1')
    if not text.removeprefix('-').isdigit():
        raise InvalidRequestError('Last-Event-ID: an integer')
    return int(text)


def _target_with_query(path: str) -> str:
    query = http_request.query_string.decode()
    return f'{path}?{query}' if query else path


async def _read_body() -> bytes:
    received: HttpRequest = http_request
    body = await received.get_data(cache=False)
    return body if isinstance(body, bytes) else body.encode()


def _request_id() -> str:
    """Returns the caller's request id, or a generated one if it is not valid.

    It becomes part of paths and log lines, so only letters, digits, `-` and `_`
    are accepted.
    """
    requested_id = http_request.headers.get(REQUEST_ID_HEADER, '')
    is_valid = re.fullmatch('[A-Za-z0-9_-]+', requested_id) is not None
    if is_valid and len(requested_id) <= _MAX_REQUEST_ID_LENGTH:
        return str(requested_id)
    return str(g.setdefault('request_id', uuid4().hex))


def _json_response(document: object) -> Response:
    return Response(json.dumps(document), content_type=JSON_TYPE)


def _to_response(reply: Reply) -> Response:
    chunks: AsyncIterator[bytes] | bytes = reply.body
    if reply.chunks is not None:
        chunks = reply.chunks
    response = Response(
        chunks,
        status=reply.status,
        content_type=reply.content_type,
    )
    response.timeout = None
    response.headers[REQUEST_ID_HEADER] = _request_id()
    for name, header in reply.headers:
        response.headers[name] = header
    return response
