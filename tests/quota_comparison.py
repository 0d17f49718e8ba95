"""Compares leased tokens with an even share of a limit for each instance.

Run with `python -m tests.quota_comparison`; the last columns are the share of
requests that are served, the largest window as a part of the bound, and the
messages of an instance a second.
"""

import sys
from collections.abc import Callable
from functools import partial
from random import Random
from statistics import mean

import attrs

from masticstage.forwarding.teams import TeamLimit
from tests.quota_days import draw_long, draw_mixed
from tests.quota_model import QuotaModel, bound_of

_SIZES = (4, 31, 122)
_SEEDS = range(3)
_START_S = 10
_END_S = 30
_FAULT_S = 15
_SMALL = TeamLimit(47_000, 94_000, 0)
_LARGE = TeamLimit(700_000, 350_000, 0)


@attrs.frozen
class Load:
    """A load as a part of a limit, of one size of requests."""

    name: str
    limit: TeamLimit
    part: float
    draw: Callable[[Random], float]
    mean_tokens: float
    targets: tuple[int, ...] = ()


_LOADS = (
    Load('small team, long requests', _SMALL, 0.55, draw_long, 38_500),
    Load('small team, mixed', _SMALL, 0.55, draw_mixed, 3720),
    Load('large team, mixed', _LARGE, 0.55, draw_mixed, 3720),
    Load('large team at one instance', _LARGE, 0.95, draw_mixed, 3720, (1,)),
    Load('large team, four times its limit', _LARGE, 4, draw_mixed, 3720),
)


def play(
    load: Load,
    seed: int,
    size: int,
    fault: Callable[[QuotaModel], None] | None = None,
) -> QuotaModel:
    """Plays a load, with a fault after some seconds if there is one."""
    model = QuotaModel(seed, size, {'shop': load.limit}, loss=0)
    if fault is not None:
        model.at(_FAULT_S, partial(fault, model))
    rate = load.part * load.limit.rate / load.mean_tokens
    model.offer(
        'shop', rate, load.draw, _START_S, _END_S, list(load.targets) or None
    )
    model.run(_END_S + 1)
    return model


def _kill_all(model: QuotaModel) -> None:
    for instance in model.instances:
        model.kill(instance.number, 1)


def _kill_keeper(model: QuotaModel) -> None:
    model.kill(_keeper(model), 6)


def _pause_keeper(model: QuotaModel) -> None:
    model.pause(_keeper(model), 10)


def _keeper(model: QuotaModel) -> int:
    return model.instances[0].ranks('shop', 0)[0]


_FAULTS = {
    'none': lambda _: None,
    'keeper killed, back after 6 s': _kill_keeper,
    'keeper paused for 10 s': _pause_keeper,
    'region cut off for 10 s': lambda model: model.cut(0, 10),
    'keeper doubted by half for 3 s': lambda model: model.doubt(
        _keeper(model), 3
    ),
    'all killed, back after 1 s': _kill_all,
}


def served(model: QuotaModel) -> float:
    """Returns the share of requests that were admitted."""
    asked = model.asked['shop']
    return sum(is_admitted for _, _, is_admitted in asked) / len(asked)


def even_share(model: QuotaModel, load: Load, seed: int) -> tuple[float, float]:
    """Returns the served share and the largest window with even shares.

    Each instance has a bucket with its part of rate and burst.
    """
    random = Random(seed)
    limit, size = load.limit, model.size
    levels = [limit.burst / size] * size
    updated_s: list[float] = [0] * size
    sent = []
    asked = sorted(model.asked['shop'])
    for time_s, tokens, _ in asked:
        number = random.choice(load.targets or range(size))
        accrued = limit.rate / size * (time_s - updated_s[number])
        levels[number] = min(limit.burst / size, levels[number] + accrued)
        updated_s[number] = time_s
        if levels[number] >= tokens:
            levels[number] -= tokens
            sent.append((time_s, tokens))
    even = QuotaModel(seed, size, {'shop': limit})
    even.sent['shop'] = sent
    window = even.largest_window('shop') / bound_of(limit)
    return len(sent) / len(asked), window


def main() -> None:
    """Prints a table in the format of the documentation."""
    for load in _LOADS:
        for size in _SIZES:
            models = [play(load, seed, size) for seed in _SEEDS]
            evens = [
                even_share(model, load, seed)
                for seed, model in enumerate(models)
            ]
            leased = mean(map(served, models))
            window = max(
                model.largest_window('shop') / bound_of(load.limit)
                for model in models
            )
            messages = mean(model.messages for model in models) / size
            cells = (
                load.name,
                size,
                f'{leased:.3f}',
                f'{mean(share for share, _ in evens):.3f}',
                f'{window:.2f}',
                f'{max(even for _, even in evens):.2f}',
                f'{messages / (_END_S - _START_S):.2f}',
            )
            _write_row(*cells)
    for name, fault in _FAULTS.items():
        models = [play(_LOADS[2], seed, 31, fault) for seed in _SEEDS]
        refused = mean(
            len(model.wrongly_refused('shop')) / len(model.asked['shop'])
            for model in models
        )
        _write_row(name, f'{refused:.4f}')


def _write_row(*cells: object) -> None:
    sys.stdout.write(f'| {" | ".join(map(str, cells))} |\n')


if __name__ == '__main__':
    main()
