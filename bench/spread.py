"""How fast news reaches a fleet: the product's member tables, stepped.

Each round every instance exchanges changes with one instance of its data
centre and one of another, as in `masticstage.gossip`.  Nothing is lost.
"""

from datetime import timedelta
from random import Random
from typing import Final

import attrs

from masticstage.clock import ManualClock
from masticstage.membership import Member, MemberId, MemberTable

_GONE_AFTER: Final = timedelta(minutes=1)
_MAX_CHANGES: Final = 16
_NEWS: Final = 'news'
_MAX_ROUNDS: Final = 40


@attrs.frozen
class Spread:
    """Rounds until an instance, and all instances, had heard of a change."""

    instances: int
    data_centres: int
    rounds_half: int
    rounds_all: int


def measure_spread(instances: int, centres: int, seed: int) -> Spread:
    """Tells one instance of a change and counts rounds until all know it."""
    random = Random(seed)
    clock = ManualClock()
    tables = [
        MemberTable(
            clock,
            _member(number, centres),
            _GONE_AFTER,
            expected_size=instances,
        )
        for number in range(instances)
    ]
    news = attrs.evolve(tables[0].own, identity=MemberId(_NEWS, 1))
    tables[0].merge([news])
    informed = {0}
    rounds = 0
    rounds_half = 0
    while len(informed) < instances and rounds < _MAX_ROUNDS:
        rounds += 1
        for number in random.sample(range(instances), instances):
            _exchange(tables, number, centres, random)
        informed = {
            number
            for number, table in enumerate(tables)
            if table.find(_NEWS) is not None
        }
        if not rounds_half and 2 * len(informed) >= instances:
            rounds_half = rounds
    return Spread(instances, centres, rounds_half, rounds)


def _exchange(
    tables: list[MemberTable],
    number: int,
    centres: int,
    random: Random,
) -> None:
    near = random.randrange(number % centres, len(tables), centres)
    far = random.randrange(len(tables))
    for partner in (near, far):
        if partner == number:
            continue
        sent = tables[number].changes(_MAX_CHANGES)
        returned = tables[partner].changes(_MAX_CHANGES)
        tables[partner].merge(sent[1:])
        tables[number].merge(returned[1:])


def _member(number: int, centres: int) -> Member:
    return Member(
        MemberId(f'instance-{number}', 1),
        f'centre-{number % centres}',
        'region',
        '10.0.0.1:1',
        '10.0.0.1:2',
    )
