"""Random days of the quota model: loads, faults and changed limits."""

from collections.abc import Callable
from functools import partial
from random import Random

from masticstage.forwarding.teams import TeamLimit
from tests.quota_model import REGIONS, QuotaModel

SIZES = (4, 31, 122)
LIMITS = (
    TeamLimit(47_000, 23_500, 1000),
    TeamLimit(47_000, 94_000, 1000),
    TeamLimit(150_000, 0, 1000),
    TeamLimit(700_000, 350_000, 1000),
    TeamLimit(100, 50, 1000),
)
_START_S = 10
_END_S = 32
_TEAM = 'shop'


def draw_mixed(random: Random) -> float:
    """Returns the tokens of a request: most are short, some are long."""
    if random.random() < 0.8:
        return random.uniform(200, 600)
    return random.uniform(12_000, 22_000)


def draw_long(random: Random) -> float:
    """Returns the tokens of a long request."""
    return random.uniform(17_000, 60_000)


_MEANS = {draw_mixed: 3720, draw_long: 38_500}


def play_day(seed: int, size: int) -> QuotaModel:
    """Plays a day with a surge of one team, and one or two faults."""
    random = Random(seed)
    limit = random.choice(LIMITS)
    model = QuotaModel(seed, size, {_TEAM: limit})
    model.retry_share = random.choice((0, 0.5, 0.9))
    draw = random.choice((draw_mixed, draw_long))
    rate = max(limit.rate, 10_000) / _MEANS[draw]
    region = range(random.randrange(REGIONS), size, REGIONS)
    targets = random.choice((None, [1], list(region)))
    surge_s = random.uniform(13, 18)
    surge = random.uniform(1, 4)
    model.offer(_TEAM, 0.55 * rate, draw, _START_S, _END_S)
    model.offer(_TEAM, surge * rate, draw, surge_s, surge_s + 11, targets)
    for fault in random.sample(_FAULTS, random.choice((0, 1, 1, 2))):
        model.at(random.uniform(14, 22), partial(fault, model, random))
    model.run(_END_S)
    return model


def excess_of(model: QuotaModel) -> float:
    """Returns the largest excess over the bound in any window."""
    return model.worst_excess(_TEAM)


def _keeper(model: QuotaModel, random: Random) -> int:
    region = random.randrange(REGIONS)
    return model.instances[region].ranks(_TEAM, region)[0]


def _pause_keeper(model: QuotaModel, random: Random) -> None:
    model.pause(_keeper(model, random), 10)


def _kill_keeper(model: QuotaModel, random: Random) -> None:
    model.kill(_keeper(model, random), random.uniform(0.5, 4))


def _kill_all(model: QuotaModel, random: Random) -> None:
    for instance in model.instances:
        model.kill(instance.number, random.uniform(0.5, 1.5))


def _cut_region(model: QuotaModel, random: Random) -> None:
    model.cut(random.randrange(REGIONS), random.uniform(3, 9))


def _doubt_keeper(model: QuotaModel, random: Random) -> None:
    model.doubt(_keeper(model, random), random.uniform(0.5, 10))


def _lower_limit(model: QuotaModel, _random: Random) -> None:
    """Lowers the limit to a tenth; the bound of the day stays the earlier."""
    limit = model.limits[_TEAM]
    model.limits[_TEAM] = TeamLimit(limit.rate / 10, limit.burst / 10, 1000)
    model.lowered.append((model.now_s, limit))


_FAULTS: tuple[Callable[[QuotaModel, Random], None], ...] = (
    _pause_keeper,
    _kill_keeper,
    _kill_all,
    _cut_region,
    _doubt_keeper,
    _lower_limit,
)
