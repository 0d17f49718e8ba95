"""Measures how the cost of one instance grows with the size of the system.

Each measurement runs the gateway's own code on data of several sizes and yields
points, to which a straight line is fitted.
"""

import json
import time
import tracemalloc
from collections.abc import Callable, Iterator
from datetime import timedelta
from itertools import repeat
from random import Random
from statistics import linear_regression, median
from typing import Any, Final
from uuid import uuid4

import attrs

from masticstage import peer_pb2 as pb
from masticstage.clock import ManualClock, SystemClock, to_milliseconds
from masticstage.configuration import check_configuration
from masticstage.configuration_schema import Upstream, Weights
from masticstage.member_messages import decode_member, encode_member
from masticstage.membership import Member, MemberId, MemberTable
from masticstage.outcomes import Answer, CallOutcome, Outcome
from masticstage.peer_messages import (
    decode_report,
    encode_report,
)
from masticstage.routing import Demand, Router
from masticstage.tickets import WitnessedTickets
from masticstage.tokens import Ticket, TokenSigner
from masticstage.upstream_table import LoadReport, UpstreamTable

_REPEATS: Final = 5
#: Maximum number of load reports in one exchange, as in `masticstage.gossip`.
_MAX_REPORTS: Final = 16
_US_PER_S: Final = 1_000_000
_GONE_AFTER: Final = timedelta(seconds=15)


@attrs.frozen
class Slope:
    """Measured points of one cost, each a size and the cost at that size.

    `unit` is that of the cost; `per` names what the size counts.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]

    @property
    def slope(self) -> float:
        """Cost of each further unit of size, by the fitted line."""
        return float(self._fitted_line.slope)

    @property
    def intercept(self) -> float:
        """Cost at size 0, by the fitted line."""
        return float(self._fitted_line.intercept)

    def cost_at(self, size: float) -> float:
        """Returns the cost at a size, by the fitted line."""
        return self.intercept + self.slope * size

    def describe(self) -> dict[str, Any]:
        """Returns the JSON form."""
        return {
            'cost': self.name,
            'unit': self.unit,
            'per': self.per,
            'slope': self.slope,
            'intercept': self.intercept,
            'points': self.points,
        }

    @property
    def _fitted_line(self) -> Any:
        sizes, costs = zip(*self.points, strict=True)
        return linear_regression(sizes, costs)


def measure_all() -> Iterator[Slope]:
    """Measures and yields all slopes."""
    yield _measure_slope(
        'member memory', 'bytes', 'instances', _member_memory, _INSTANCE_COUNTS
    )
    yield _measure_slope(
        'gossip message', 'bytes', 'changes', _gossip_bytes, _CHANGE_COUNTS
    )
    yield _measure_slope(
        'gossip processing', 'us', 'changes', _gossip_us, _CHANGE_COUNTS
    )
    yield _measure_slope(
        'load reports',
        'bytes',
        'upstreams',
        _load_report_bytes,
        _LOCAL_UPSTREAM_COUNTS,
    )
    yield _measure_slope(
        'load processing',
        'us',
        'upstreams',
        _load_report_us,
        _LOCAL_UPSTREAM_COUNTS,
    )
    yield _measure_slope(
        'summaries', 'bytes', 'summaries', _summary_bytes, _SUMMARY_COUNTS
    )
    yield _measure_slope(
        'configuration',
        'bytes',
        'upstreams',
        _configuration_bytes,
        _UPSTREAM_COUNTS,
    )
    yield _measure_slope(
        'configuration check',
        'us',
        'upstreams',
        _configuration_check_us,
        _UPSTREAM_COUNTS,
    )
    yield _measure_slope(
        'configuration memory',
        'bytes',
        'upstreams',
        _configuration_memory,
        _UPSTREAM_COUNTS,
    )
    yield _measure_slope(
        'team check', 'us', 'teams', _team_check_us, _TEAM_COUNTS
    )
    yield _measure_slope(
        'routing decision',
        'us',
        'upstreams',
        _routing_us,
        _LOCAL_UPSTREAM_COUNTS,
    )
    yield _measure_slope(
        'held outcome', 'bytes', 'tickets', _outcome_memory, _TICKET_COUNTS
    )
    yield _measure_slope(
        'ticket signing',
        'us',
        'tickets',
        _ticket_signing_us,
        _SIGNED_TICKET_COUNTS,
    )


_INSTANCE_COUNTS: Final = (100, 500, 1000, 2500)
_CHANGE_COUNTS: Final = (1, 4, 16, 64)
_LOCAL_UPSTREAM_COUNTS: Final = (10, 50, 100, 200)
_SUMMARY_COUNTS: Final = (8, 64, 512, 1856)
_UPSTREAM_COUNTS: Final = (50, 200, 500, 1000)
_TEAM_COUNTS: Final = (50, 200, 500, 1000)
_TICKET_COUNTS: Final = (100, 1000, 5000)
_SIGNED_TICKET_COUNTS: Final = (10, 50, 100)


def _measure_slope(
    name: str,
    unit: str,
    per: str,
    measure: Callable[[int], float],
    sizes: tuple[int, ...],
) -> Slope:
    points = tuple((float(size), measure(size)) for size in sizes)
    return Slope(name, unit, per, points)


def processor_time_us(work: Callable[[], object], times: int = 1) -> float:
    """Returns the median processor time of one call in microseconds."""
    costs = []
    for _ in range(_REPEATS):
        start = time.process_time()
        for _ in repeat(None, times):
            work()
        costs.append((time.process_time() - start) / times)
    return median(costs) * _US_PER_S


def allocated_bytes(build: Callable[[], object]) -> float:
    """Returns the memory that a new object allocates, in bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = [build()]
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    built.clear()
    return float(after - before)


def build_member(number: int) -> Member:
    """Returns the record of instance `number`, in one of 64 data centres."""
    data_centre = number % 64
    return Member(
        MemberId(f'centre-{data_centre:02}-{number:04}', 1_800_000_000_000),
        f'centre-{data_centre:02}',
        f'region-{data_centre // 2:02}',
        f'10.{data_centre}.{number // 250}.{number % 250}:7000',
        f'10.{data_centre}.{number // 250}.{number % 250}:8000',
        heartbeat=number,
    )


def build_table(count: int) -> MemberTable:
    """Returns a table with the records of a number of instances."""
    table = MemberTable(ManualClock(), build_member(0), _GONE_AFTER)
    table.merge(build_member(number) for number in range(1, count))
    return table


def build_sized_configuration(upstreams: int, teams: int) -> dict[str, Any]:
    """Returns a configuration document with many upstreams and teams."""
    regions = [f'region-{number:02}' for number in range(31)]
    return {
        'deployment': 'large',
        'weights': {'latency': 1.0, 'traffic': 1.0, 'sent_away': 1.0},
        'regions': [
            {'name': region, 'data_centres': [f'{region}-a', f'{region}-b']}
            for region in regions
        ],
        'teams': [
            {
                'name': f'team-{number}',
                'home': regions[number % len(regions)],
                'key_sha256': f'{number:064x}',
            }
            for number in range(teams)
        ],
        'services': [
            {
                'name': f'model-{number}',
                'type': 'model',
                'kinds': [{'name': 'open', 'regions': regions}],
            }
            for number in range(29)
        ],
        'upstreams': [
            {
                'name': f'upstream-{number}',
                'service': f'model-{number % 29}',
                'data_centre': f'{regions[number % len(regions)]}-a',
                'address': f'http://10.0.{number % 250}.{number // 250}:8000',
                'slots': 8,
            }
            for number in range(upstreams)
        ],
    }


def _member_memory(count: int) -> float:
    return allocated_bytes(lambda: build_table(count))


def _build_gossip(changes: int) -> pb.Gossip:
    members = [encode_member(build_member(number)) for number in range(changes)]
    return pb.Gossip(members=members)


def _gossip_bytes(changes: int) -> float:
    return float(_build_gossip(changes).ByteSize())


def _gossip_us(changes: int) -> float:
    table = build_table(2500)

    def exchange() -> None:
        encoded = pb.Gossip(
            members=[
                encode_member(member) for member in table.changes(changes)
            ],
        ).SerializeToString()
        received = pb.Gossip.FromString(encoded)
        table.merge(decode_member(record) for record in received.members)

    return processor_time_us(exchange)


def _build_reports(count: int) -> list[LoadReport]:
    return [
        LoadReport(
            f'centre-00-upstream-{number:03}', 1, 1_800_000_000_000, 3, 8
        )
        for number in range(count)
    ]


def _load_report_bytes(count: int) -> float:
    table = UpstreamTable(SystemClock())
    reports = _build_reports(count)
    table.merge(reports)
    updates = table.updates(
        [report.upstream for report in reports], _MAX_REPORTS
    )
    records = [encode_report(update) for update in updates]
    return float(pb.Gossip(upstreams=records).ByteSize())


def _load_report_us(count: int) -> float:
    table = UpstreamTable(SystemClock())
    reports = _build_reports(count)

    names = [report.upstream for report in reports]
    table.merge(reports)

    def exchange() -> None:
        updates = table.updates(names, _MAX_REPORTS)
        encoded = pb.Gossip(
            upstreams=[encode_report(update) for update in updates],
        ).SerializeToString()
        received = pb.Gossip.FromString(encoded)
        table.merge(decode_report(record) for record in received.upstreams)

    return processor_time_us(exchange, 10)


def _summary_bytes(count: int) -> float:
    summaries = [
        pb.ServiceSummary(
            data_centre=f'centre-{number % 64:02}',
            service=f'model-{number % 29:02}',
            reported_at_ms=1_800_000_000_000,
            wait_ms=120,
        )
        for number in range(count)
    ]
    return float(pb.Gossip(summaries=summaries).ByteSize())


def _configuration_bytes(upstreams: int) -> float:
    return float(len(json.dumps(build_sized_configuration(upstreams, 0))))


def _configuration_check_us(upstreams: int) -> float:
    document = build_sized_configuration(upstreams, 0)
    return processor_time_us(lambda: check_configuration(1, document))


def _team_check_us(teams: int) -> float:
    document = build_sized_configuration(29, teams)
    return processor_time_us(lambda: check_configuration(1, document))


def _configuration_memory(upstreams: int) -> float:
    document = build_sized_configuration(upstreams, 0)
    return allocated_bytes(lambda: check_configuration(1, document))


def _routing_us(count: int) -> float:
    clock = SystemClock()
    router = Router(UpstreamTable(clock), Random(1))
    upstreams = tuple(
        Upstream(f'engine-{number}', 'model', 'a', 'http://10.0.0.1:1')
        for number in range(count)
    )
    weights = Weights(1, 1, 1)
    demand = Demand('model', 12345, 60000, 60500)

    def decide() -> None:
        router.choose(upstreams, demand, weights)

    return processor_time_us(decide, 500)


def _build_ticket(clock: SystemClock | ManualClock) -> Ticket:
    witness = MemberId('centre-00-0001', 1)
    return Ticket(
        uuid4().hex,
        MemberId('centre-00-0000', 1),
        witness,
        'centre-00',
        'region-00',
        'team-1',
        'shop',
        to_milliseconds(clock.now() + timedelta(minutes=10)),
        1,
    )


def _outcome_memory(count: int) -> float:
    clock = ManualClock()

    def build() -> WitnessedTickets:
        tickets = WitnessedTickets(clock, MemberId('centre-00-0001', 1), count)
        for number in range(count):
            ticket = _build_ticket(clock)
            tickets.record_intent(ticket)
            answer = Answer(200, 'application/json', bytes(200 + number % 2))
            tickets.copy_outcome(ticket, CallOutcome(Outcome.RAN, answer))
        return tickets

    return allocated_bytes(build)


def _ticket_signing_us(count: int) -> float:
    signer = TokenSigner(('a-secret-for-trials',))
    tickets = [_build_ticket(SystemClock()) for _ in range(count)]

    def sign_all() -> None:
        for ticket in tickets:
            signer.verify_ticket(signer.sign_ticket(ticket))

    return processor_time_us(sign_all)
