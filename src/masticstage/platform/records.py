"""Decodes records of the platform's store into the gateway's types."""

import ipaddress
import json
from collections.abc import Callable, Mapping
from typing import Any, Final

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
    ServiceConfig,
    Share,
)
from masticstage.platform import names
from masticstage.platform.numbers import MAX_COUNT, read_duration, read_number
from masticstage.platform.teams import decode_teams
from masticstage.platform.texts import read_text

_Fields = dict[str, Any]
_MAX_PORT: Final = 65_535
#: Length to which the reason for an unreadable record is cut.
_MAX_REASON_LENGTH: Final = 200
_DECODE_ERRORS: Final = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


def build_record_decoder(
    region_of: Mapping[str, str],
) -> Callable[[str, bytes], Published]:
    """Returns a decoder of records, given the region of each data centre.

    The decoder takes a key and a JSON body. It returns `Unreadable` for a
    record that has missing or wrong fields.
    """

    def decode(key: str, body: bytes) -> Published:
        if key.startswith(names.EVACUATION_PREFIX):
            return Evacuation(key.removeprefix(names.EVACUATION_PREFIX))
        try:
            return _decode(key, json.loads(body), region_of)
        except _DECODE_ERRORS as error:
            reason = f'{type(error).__name__}: {error}'
            return Unreadable(reason[:_MAX_REASON_LENGTH])

    return decode


def _decode(
    key: str,
    fields: _Fields,
    region_of: Mapping[str, str],
) -> Published:
    if key == names.CONFIGURATION_KEY:
        return _decode_route_table(fields)
    if key.startswith(names.UPSTREAM_PREFIX):
        name = key.removeprefix(names.UPSTREAM_PREFIX)
        return _decode_upstream(name, fields, region_of)
    return Unrelated()


def _decode_upstream(
    name: str,
    fields: _Fields,
    region_of: Mapping[str, str],
) -> UpstreamRecord:
    # `Zone` is a data centre. `State` describes readiness, not health.
    # `Version` is that of the program, not of the weights.
    state = fields['State']
    if state not in {names.STATE_READY, names.STATE_LEAVING}:
        raise ValueError(f'unknown state {state!r}')
    return UpstreamRecord(
        read_text(name),
        read_text(fields['Service']),
        _address(fields['Address']),
        read_text(fields['Zone']),
        region_of[fields['Zone']],
        _integer(fields['Slots']),
        state == names.STATE_LEAVING,
        read_duration(fields.get('WarmupLeftMs', 0)),
        _integer(fields.get('born', 0)),
        read_text(fields['Version']) if 'Version' in fields else '',
    )


def _decode_route_table(fields: _Fields) -> RouteTable:
    services = [_decode_service(entry) for entry in fields['Services']]
    return RouteTable(
        _integer(fields['Version']),
        tuple(_decode_route(entry) for entry in fields['Routes']),
        {service.name: service for service in services},
        _decode_limits(fields['Limits']),
        decode_teams(fields.get('Tenants')),
    )


def _decode_route(fields: _Fields) -> Route:
    # `MaxAttempts` counts upstreams, not retries. `SessionAffinity` is not
    # read: it only says that requests share prompts, as the prompts show too.
    return Route(
        read_text(fields['Name']),
        read_text(fields['Host']).lower(),
        read_text(fields['PathPrefix']),
        CallKind(fields['Kind']),
        read_duration(fields['TimeoutMs']),
        read_duration(fields.get('TargetLatencyMs') or 0),
        _decode_shares(fields),
        _integer(fields.get('Priority') or 0),
        _integer(fields.get('MaxAttempts') or 1),
        frozenset(fields.get('AllowedRegions') or ()),
        bool(fields.get('Resumable')),
        read_duration(fields.get('GapTargetMs') or 0),
        is_public=fields.get('Public') is True,
    )


def _decode_shares(fields: _Fields) -> tuple[Share, ...]:
    split = fields.get('TrafficSplit')
    if split:
        return tuple(
            Share(read_text(entry['Service']), _number(entry['Weight']))
            for entry in split
        )
    return (Share(read_text(fields['Service']), 1),)


def _decode_service(fields: _Fields) -> ServiceConfig:
    engine = fields.get('Engine')
    return ServiceConfig(
        read_text(fields['Name']),
        read_text(fields['HealthPath']),
        _integer(fields['MaxConnections']),
        _number(fields.get('WarmupPerS') or 0),
        _decode_engine(engine) if engine else None,
    )


def _decode_engine(fields: _Fields) -> Engine:
    # `LinkMbps` is the bandwidth between engines, not between instances.
    return Engine(
        _integer(fields['Slots']),
        _integer(fields['KvCapacity']),
        _number(fields.get('LinkMbps') or 0),
    )


def _decode_limits(fields: _Fields) -> CallerLimits:
    return CallerLimits(
        _integer(fields['MaxHeaderBytes']),
        _integer(fields['MaxBodyBytes']),
        read_duration(fields['HeaderTimeoutMs']),
        read_duration(fields['IdleTimeoutMs']),
    )


def _address(field: object) -> str:
    text = read_text(field)
    host, _, port = text.rpartition(':')
    ipaddress.IPv4Address(host)
    if not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError('expected a port from 1 to 65535')
    return text


def _number(field: object) -> float:
    return read_number(field, MAX_COUNT)


def _integer(field: object) -> int:
    return int(_number(field))
