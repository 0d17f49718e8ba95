"""Records of the platform's store, decoded into the product's types."""

import json
from collections.abc import Callable, Mapping
from typing import Any, Final

from masticstage.clock import milliseconds
from masticstage.forwarding.published import (
    Evacuation,
    Published,
    Unreadable,
    Unrelated,
    UpstreamRecord,
)
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.routes import (
    CallerLimits,
    Engine,
    Route,
    RouteTable,
    ServicePlan,
    Share,
)
from masticstage.platform import words

_Fields = dict[str, Any]
_BAD_RECORD: Final = (AttributeError, KeyError, TypeError, ValueError)


def record_decoder(
    region_of: Mapping[str, str],
) -> Callable[[str, bytes], Published]:
    """Returns the decoder of records, given the region of each data centre."""

    def decode(key: str, body: bytes) -> Published:
        if key.startswith(words.EVACUATION_PREFIX):
            return Evacuation(key.removeprefix(words.EVACUATION_PREFIX))
        try:
            return _decode(key, json.loads(body), region_of)
        except _BAD_RECORD as error:
            return Unreadable(f'{type(error).__name__}: {error}')

    return decode


def _decode(
    key: str,
    fields: _Fields,
    region_of: Mapping[str, str],
) -> Published:
    if key == words.CONFIGURATION_KEY:
        return _decode_table(fields)
    if key.startswith(words.UPSTREAM_PREFIX):
        name = key.removeprefix(words.UPSTREAM_PREFIX)
        return _decode_upstream(name, fields, region_of)
    return Unrelated()


def _decode_upstream(
    name: str,
    fields: _Fields,
    region_of: Mapping[str, str],
) -> UpstreamRecord:
    # `Zone` is a data centre here; `State` tells readiness, not health.
    state = fields['State']
    if state not in {words.STATE_READY, words.STATE_LEAVING}:
        raise ValueError(f'state {state!r}')
    return UpstreamRecord(
        name,
        _text(fields['Service']),
        _address(fields['Address']),
        _text(fields['Zone']),
        region_of[fields['Zone']],
        _whole(fields['Slots']),
        state == words.STATE_LEAVING,
        milliseconds(_number(fields.get('WarmupLeftMs', 0))),
        _whole(fields.get('born', 0)),
    )


def _decode_table(fields: _Fields) -> RouteTable:
    services = [_decode_service(entry) for entry in fields['Services']]
    return RouteTable(
        _whole(fields['Version']),
        tuple(_decode_route(entry) for entry in fields['Routes']),
        {service.name: service for service in services},
        _decode_limits(fields['Limits']),
    )


def _decode_route(fields: _Fields) -> Route:
    # `MaxAttempts` counts upstreams, not repeats. `SessionAffinity` only
    # says that prompts are shared, which the prompt itself shows as well.
    return Route(
        _text(fields['Name']),
        _text(fields['Host']).lower(),
        _text(fields['PathPrefix']),
        CallKind(fields['Kind']),
        milliseconds(_number(fields['TimeoutMs'])),
        milliseconds(_number(fields.get('TargetLatencyMs') or 0)),
        _decode_shares(fields),
        _whole(fields.get('Priority') or 0),
        _whole(fields.get('MaxAttempts') or 1),
        frozenset(fields.get('AllowedRegions') or ()),
        bool(fields.get('Resumable')),
        milliseconds(_number(fields.get('GapTargetMs') or 0)),
    )


def _decode_shares(fields: _Fields) -> tuple[Share, ...]:
    split = fields.get('TrafficSplit')
    if split:
        return tuple(
            Share(_text(entry['Service']), _number(entry['Weight']))
            for entry in split
        )
    return (Share(_text(fields['Service']), 1),)


def _decode_service(fields: _Fields) -> ServicePlan:
    engine = fields.get('Engine')
    return ServicePlan(
        _text(fields['Name']),
        _text(fields['HealthPath']),
        _whole(fields['MaxConnections']),
        _number(fields.get('WarmupPerS') or 0),
        _decode_engine(engine) if engine else None,
    )


def _decode_engine(fields: _Fields) -> Engine:
    # `LinkMbps` is the link between engines, not one of the system's.
    return Engine(
        _whole(fields['Slots']),
        _whole(fields['KvCapacity']),
        _number(fields.get('LinkMbps') or 0),
    )


def _decode_limits(fields: _Fields) -> CallerLimits:
    return CallerLimits(
        _whole(fields['MaxHeaderBytes']),
        _whole(fields['MaxBodyBytes']),
        milliseconds(_number(fields['HeaderTimeoutMs'])),
        milliseconds(_number(fields['IdleTimeoutMs'])),
    )


def _text(field: object) -> str:
    if not isinstance(field, str) or not field:
        raise TypeError(f'text expected: {field!r}')
    return field


def _address(field: object) -> str:
    host, _, port = _text(field).rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'address expected: {field!r}')
    return _text(field)


def _number(field: object) -> float:
    if isinstance(field, bool) or not isinstance(field, (int, float)):
        raise TypeError(f'number expected: {field!r}')
    return field


def _whole(field: object) -> int:
    return int(_number(field))
