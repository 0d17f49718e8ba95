"""Load pattern: each of many instances sees few requests of a history.

The home of a history may be far away, so it is read at an engine nearby. What
one instance saw an engine prefill, the next one that serves the history does
not know, so engines prefill again what another one holds.
"""

from random import Random

from masticstage.clock import milliseconds
from tests.forwarding_builders import (
    build_member,
    build_prompt,
    build_record,
    build_request,
    build_simulated_instance,
    build_stream_route,
)

_INSTANCES = 12
_ENGINES = 24
_HISTORIES = 120
_REQUESTS = 800


def _address(number):
    return f'10.0.0.{number}:80'


def _build_instances():
    """Returns instances of a region; most engines are in another one."""
    peer = build_member('peer', 'south')
    instances = [build_simulated_instance(peer) for _ in range(_INSTANCES)]
    for instance in instances:
        for number in range(_ENGINES):
            region = 'south' if number % 3 else 'north'
            record = build_record(
                f'e{number}',
                service='model',
                address=_address(number),
                region=region,
                data_centre=f'{region}-a',
            )
            instance.add_upstream(record)
            instance.loads.state(record.name, memory_tokens=360_000)
    return instances


def _exchange(first, second):
    """Both instances tell each other which engines hold which prefixes."""
    batches = [
        instance.prefix_reports.next_batch(is_own_region=True)
        for instance in (first, second)
    ]
    for instance, batch in ((second, batches[0]), (first, batches[1])):
        for report in instance.prefix_reports.learn(batch):
            state = instance.loads.state(report.upstream)
            state.cache.record_parts(report.parts)


def _count_needless_prefills(*, has_reports):
    """Counts prefills of a prefix that another engine held, without a copy."""
    random, instances = Random(3), _build_instances()
    route = build_stream_route(target=milliseconds(515))
    held = {f'e{number}': set() for number in range(_ENGINES)}
    needless = 0
    for _ in range(_REQUESTS):
        instance = random.choice(instances)
        history = f'{random.randrange(_HISTORIES) + 1:x}'
        request = build_request(prompt=build_prompt(history, 6000))
        # Some engines are busy, the homes of some histories among them.
        for number in range(_ENGINES):
            counters = instance.loads.state(f'e{number}').direct
            counters.pending_tokens[0] = random.choice((0, 0, 60_000))
        choice = instance.chooser.choose(request, route, 'model')
        sources = [
            name
            for number, name in enumerate(held)
            if _address(number) == choice.fetch_from
        ]
        is_copied = any(history in held[name] for name in sources)
        is_held = any(history in prefixes for prefixes in held.values())
        if history not in held[choice.upstream] and is_held and not is_copied:
            needless += 1
        held[choice.upstream].add(history)
        prefix = request.prompt.shared_prefix
        choice.candidate.state.cache.record_parts(prefix)
        instance.prefix_reports.observe(choice.upstream, prefix)
        for _ in range(4 * has_reports):
            _exchange(*random.sample(instances, 2))
    return needless


def test_prefixes_are_not_prefilled_again_while_an_engine_holds_them():
    assert _count_needless_prefills(has_reports=True) < 0.01 * _REQUESTS


def test_without_reports_prefixes_are_prefilled_again():
    assert _count_needless_prefills(has_reports=False) > 0.05 * _REQUESTS
