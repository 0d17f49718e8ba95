"""Tests of metrics."""

from masticstage.metrics import Metrics


def test_many_names_share_a_counter():
    """Guards against metrics that grow with every name."""
    metrics = Metrics()
    for number in range(10_000):
        metrics.count_named('requests', f'team-{number}')
    metrics.count_named('requests', 'team-0')

    rendered = metrics.render()
    assert b'"requests.team-0"} 2.0' in rendered
    assert rendered.count(b'requests.team-') < 200
    assert b'"requests.others"} 9936.0' in rendered
