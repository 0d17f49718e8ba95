"""Tests of the adoption of published configurations."""

from hypothesis import given, settings, strategies

from masticstage.clock import ManualClock
from masticstage.rollout import Adoption, Offer, Rollout
from tests.builders import build_document


def build_offer(version, deployment='test'):
    return Offer(version, build_document(deployment=deployment))


OFFERS = strategies.lists(
    strategies.builds(
        build_offer,
        strategies.integers(1, 4),
        strategies.sampled_from(('one', 'two', 'three')),
    ),
    max_size=8,
)


@settings(derandomize=True, deadline=None)
@given(OFFERS)
def test_version_never_decreases(offers):
    rollout = Rollout(ManualClock())
    for offer in offers:
        before = rollout.version
        rollout.offer(offer)
        assert rollout.version == max(before, offer.version)


@settings(derandomize=True, deadline=None)
@given(OFFERS, strategies.randoms(use_true_random=False))
def test_instances_agree_for_any_order_of_offers(offers, random):
    shuffled = list(offers)
    random.shuffle(shuffled)
    first = Rollout(ManualClock())
    second = Rollout(ManualClock())
    for offer in offers:
        first.offer(offer)
    for offer in shuffled:
        second.offer(offer)
    assert first.digest == second.digest


def test_invalid_configuration_keeps_the_previous_one_active():
    rollout = Rollout(ManualClock())
    rollout.offer(build_offer(1))
    decision = rollout.offer(Offer(2, {'deployment': 3, 'surplus': 1}))
    assert decision.adoption is Adoption.INVALID
    assert len(decision.faults) > 5
    assert rollout.version == 1


def test_two_documents_of_one_version_are_reported_as_a_conflict():
    rollout = Rollout(ManualClock())
    rollout.offer(build_offer(1, 'one'))
    decision = rollout.offer(build_offer(1, 'two'))
    assert decision.adoption is Adoption.CONFLICT
