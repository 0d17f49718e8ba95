"""Conversions between protobuf messages of peers and internal types."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from datetime import timedelta
from functools import lru_cache
from typing import Final

import xxhash

from masticstage import peer_pb2 as pb
from masticstage.clock import milliseconds
from masticstage.edges.compression import compress, decompress
from masticstage.forwarding.crashes.causes import Cause
from masticstage.forwarding.crashes.crash_causes import CauseReport
from masticstage.forwarding.health import Outcomes
from masticstage.forwarding.loads import SharedLoad
from masticstage.forwarding.prefix_reports import PrefixReport
from masticstage.forwarding.record_cache import RecordEvent, RecordUpdates
from masticstage.forwarding.requests import (
    CallerRequest,
    CallKind,
    PromptPart,
)
from masticstage.forwarding.routes import Route, Share
from masticstage.forwarding.wire import DispatchOptions, RawRequest

#: Units of an outcome in packed loads.
_TENTHS: Final = 10
_MS_PER_S: Final = 1000
#: Ids of prompt parts are hexadecimal. The messages hold their last 64 bits.
_HEX_BASE: Final = 16
_MAX_UINT32: Final = 0xFFFFFFFF
_MAX_ID: Final = 0xFFFFFFFFFFFFFFFF
#: Names whose hashes are kept, since each message names all upstreams in use.
_MAX_HASHED_NAMES: Final = 8192


def encode_load(load: SharedLoad) -> pb.SharedLoad:
    """Returns the message for a load on one upstream."""
    return pb.SharedLoad(
        upstream=load.upstream,
        in_flight=load.in_flight,
        pending_tokens=dict(load.pending_tokens),
        failed=load.outcomes.failed,
        outcomes=load.outcomes.total,
    )


def decode_load(record: pb.SharedLoad) -> SharedLoad:
    """Returns the load that a peer reports for an upstream."""
    pending = tuple(sorted(record.pending_tokens.items()))
    outcomes = Outcomes(record.failed, record.outcomes)
    return SharedLoad(record.upstream, record.in_flight, pending, outcomes)


def pack_loads(loads: Sequence[SharedLoad]) -> pb.PackedLoads:
    """Returns the message for loads on many upstreams, in few bytes."""
    pending = [dict(load.pending_tokens) for load in loads]
    priorities = sorted({priority for by in pending for priority in by})
    return pb.PackedLoads(
        upstreams=[hash_name(load.upstream) for load in loads],
        in_flight=[_to_uint32(load.in_flight) for load in loads],
        priorities=priorities,
        tokens=[
            _to_uint32(by.get(priority, 0))
            for by in pending
            for priority in priorities
        ],
        tenths_failed=[
            _to_uint32(_TENTHS * load.outcomes.failed) for load in loads
        ],
        tenths_total=[
            _to_uint32(_TENTHS * load.outcomes.total) for load in loads
        ],
    )


def unpack_loads(
    packed: pb.PackedLoads,
    names: Mapping[int, str],
) -> tuple[SharedLoad, ...]:
    """Returns the loads that a peer reports, given names by their hashes.

    Upstreams that are not known here are left out. Raises ValueError if the
    lists do not fit together.
    """
    width = len(packed.priorities)
    rows = zip(
        packed.upstreams,
        packed.in_flight,
        _rows(packed.tokens, width, len(packed.upstreams)),
        packed.tenths_failed,
        packed.tenths_total,
        strict=True,
    )
    return tuple(
        SharedLoad(
            names[hashed],
            in_flight,
            tuple(zip(packed.priorities, tokens, strict=True)),
            Outcomes(failed / _TENTHS, total / _TENTHS),
        )
        for hashed, in_flight, tokens, failed, total in rows
        if hashed in names
    )


@lru_cache(maxsize=_MAX_HASHED_NAMES)
def hash_name(upstream: str) -> int:
    """Returns the hash by which an upstream is named in packed loads."""
    return xxhash.xxh32_intdigest(upstream.encode())


def _to_uint32(count: float) -> int:
    """Returns the nearest number that fits; others would fail to encode."""
    number = round(count)
    if 0 <= number <= _MAX_UINT32:
        return number
    return 0 if number < 0 else _MAX_UINT32


def _rows(tokens: Sequence[int], width: int, count: int) -> list[Sequence[int]]:
    if len(tokens) != width * count:
        raise ValueError('a number of tokens for each upstream and priority')
    starts = [row * width for row in range(count)]
    return [tokens[slice(start, start + width)] for start in starts]


def encode_prefix(report: PrefixReport) -> pb.PrefixReport:
    """Returns the message for a prefix that an upstream holds."""
    return pb.PrefixReport(
        upstream=hash_name(report.upstream),
        parts=[int(part.part_id, _HEX_BASE) & _MAX_ID for part in report.parts],
        tokens=[_to_uint32(part.tokens) for part in report.parts],
    )


def decode_prefixes(
    reports: Iterable[pb.PrefixReport],
    names: Mapping[int, str],
) -> Iterator[PrefixReport]:
    """Yields the prefixes that a peer reports, given names by their hashes.

    Reports without parts or of upstreams that are not known are left out.
    """
    for report in reports:
        parts = tuple(
            PromptPart(f'{part_id:x}', tokens)
            for part_id, tokens in zip(report.parts, report.tokens, strict=True)
        )
        if parts and report.upstream in names:
            yield PrefixReport(names[report.upstream], parts)


def encode_cause(report: CauseReport) -> pb.CrashCause:
    """Returns the message for what is known about a cause of crashes."""
    return pb.CrashCause(
        is_part=report.cause.is_part,
        digest=report.cause.digest,
        uncleared=report.uncleared,
        cleared=report.cleared,
        age_ms=_to_uint32(report.age_s * _MS_PER_S),
        answered_ms=(
            None
            if report.answered_age_s is None
            else _to_uint32(report.answered_age_s * _MS_PER_S)
        ),
        depth=report.cause.depth,
    )


def decode_cause(message: pb.CrashCause) -> CauseReport:
    """Returns what a peer knows about a cause of crashes."""
    return CauseReport(
        Cause(message.is_part, message.digest, message.depth),
        frozenset(message.uncleared),
        frozenset(message.cleared),
        message.age_ms / _MS_PER_S,
        (
            message.answered_ms / _MS_PER_S
            if message.HasField('answered_ms')
            else None
        ),
    )


def encode_updates(
    updates: RecordUpdates, *, is_outage: bool
) -> pb.PublishedNews:
    """Returns the message for record updates.

    `is_outage` tells whether the sender cannot reach the platform.
    """
    return pb.PublishedNews(
        records=map(encode_record, updates.events),
        revision=updates.revision,
        is_whole=updates.is_snapshot,
        is_in_trouble=is_outage,
        era=updates.era,
    )


def decode_updates(message: pb.PublishedNews) -> RecordUpdates:
    """Returns the record updates of a peer."""
    events = tuple(map(decode_record, message.records))
    return RecordUpdates(
        events, message.revision, message.is_whole, message.era
    )


def decode_record(record: pb.PublishedRecord) -> RecordEvent:
    """Returns a record of a peer, or its deletion."""
    return RecordEvent(
        record.key,
        record.revision,
        None if record.is_deleted else record.body,
    )


def encode_record(event: RecordEvent) -> pb.PublishedRecord:
    """Returns the message for a record or its deletion."""
    return pb.PublishedRecord(
        key=event.key,
        revision=event.revision,
        body=event.body or b'',
        is_deleted=event.body is None,
    )


def encode_relay(
    request: CallerRequest,
    service: str,
    tried: Iterable[str],
    route: Route,
    options: DispatchOptions,
    team_name: str = '',
    *,
    is_compressed: bool,
) -> pb.RoutedRelay:
    """Returns the message that relays a request to another region."""
    compressed = compress(request.body) if is_compressed else b''
    return pb.RoutedRelay(
        method=request.method,
        target=request.target,
        headers=[
            pb.RawHeader(name=name, value=text)
            for name, text in request.headers
        ],
        body=b'' if compressed else request.body,
        compressed_body=compressed,
        remaining_ms=options.remaining // timedelta(milliseconds=1),
        service=service,
        upstream=options.upstream,
        tried=sorted(tried),
        priority=options.priority,
        kind=route.kind.value,
        is_resumable=route.is_resumable,
        homes=sorted(route.homes),
        last_event_id=options.last_event_id or request.last_event_id,
        fetch_from=options.fetch_from,
        target_ms=route.target // timedelta(milliseconds=1),
        team=team_name,
    )


def decode_relay_route(message: pb.RoutedRelay) -> Route:
    """Returns the sender's route, with only the fields that a relay needs."""
    remaining = milliseconds(message.remaining_ms)
    return Route(
        'relay',
        '',
        '/',
        CallKind(message.kind),
        remaining,
        milliseconds(message.target_ms),
        (Share(message.service, 1),),
        message.priority,
        homes=frozenset(message.homes),
        is_resumable=message.is_resumable,
    )


def decode_relay_request(
    message: pb.RoutedRelay,
    arrived: timedelta,
) -> RawRequest:
    """Returns the caller's request as the sender of the relay received it.

    Raises InvalidRequestError if its body cannot be decompressed.
    """
    is_compressed = bool(message.compressed_body)
    return RawRequest(
        message.method,
        message.target,
        tuple((header.name, header.value) for header in message.headers),
        decompress(message.compressed_body) if is_compressed else message.body,
        arrived,
    )
