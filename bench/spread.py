"""Simulates the spread of a membership change by gossip.

The tables are the gateway's own.  In each round every instance exchanges
changes with a random instance of its data centre and a random one of the fleet,
much as in `masticstage.gossip`.  No exchange is lost.
"""

from datetime import timedelta
from random import Random
from typing import Final

import attrs

from masticstage.clock import ManualClock
from masticstage.membership import Member, MemberId, MemberTable

_GONE_AFTER: Final = timedelta(minutes=1)
_MAX_CHANGES: Final = 16
_NEW_MEMBER: Final = 'news'
_MAX_ROUNDS: Final = 40


@attrs.frozen
class Spread:
    """Gossip rounds until half of the instances, and all, had a change."""

    instances: int
    data_centres: int
    rounds_half: int
    rounds_all: int


def measure_spread(instances: int, data_centres: int, seed: int) -> Spread:
    """Adds a member to one table; counts rounds until all tables have it.

    Stops after `_MAX_ROUNDS` rounds.
    """
    random = Random(seed)
    clock = ManualClock()
    tables = [
        MemberTable(
            clock,
            _build_member(number, data_centres),
            _GONE_AFTER,
            expected_size=instances,
        )
        for number in range(instances)
    ]
    new_member = attrs.evolve(tables[0].own, identity=MemberId(_NEW_MEMBER, 1))
    tables[0].merge([new_member])
    informed = {0}
    rounds = 0
    rounds_half = 0
    while len(informed) < instances and rounds < _MAX_ROUNDS:
        rounds += 1
        for number in random.sample(range(instances), instances):
            _exchange_changes(tables, number, data_centres, random)
        informed = {
            number
            for number, table in enumerate(tables)
            if table.find(_NEW_MEMBER) is not None
        }
        if not rounds_half and 2 * len(informed) >= instances:
            rounds_half = rounds
    return Spread(instances, data_centres, rounds_half, rounds)


def _exchange_changes(
    tables: list[MemberTable],
    number: int,
    data_centres: int,
    random: Random,
) -> None:
    local_partner = random.randrange(
        number % data_centres, len(tables), data_centres
    )
    any_partner = random.randrange(len(tables))
    for partner in (local_partner, any_partner):
        if partner == number:
            continue
        sent = tables[number].changes(_MAX_CHANGES)
        returned = tables[partner].changes(_MAX_CHANGES)
        tables[partner].merge(sent[1:])
        tables[number].merge(returned[1:])


def _build_member(number: int, data_centres: int) -> Member:
    return Member(
        MemberId(f'instance-{number}', 1),
        f'centre-{number % data_centres}',
        'region',
        '10.0.0.1:1',
        '10.0.0.1:2',
    )
