"""Tests of the estimated prompt cache of an upstream."""

from masticstage.forwarding.prompts import PromptCache
from masticstage.forwarding.requests import Prompt, PromptPart
from tests.forwarding_builders import build_prompt


def test_a_shared_prefix_is_prefilled_once():
    cache = PromptCache.of_memory(100_000)
    assert cache.uncached_tokens(build_prompt()) == 13_500
    cache.record_prefill(build_prompt())
    assert cache.uncached_tokens(build_prompt()) == 500


def test_parts_after_a_missing_one_are_prefilled_again():
    cache = PromptCache.of_memory(100_000)
    cache.record_prefill(build_prompt('b2'))
    parts = (PromptPart('a1', 100), PromptPart('b2', 13_000))
    prompt = Prompt((*parts, PromptPart('c', 10)), 13_110, 5)
    assert cache.uncached_tokens(prompt) == 13_110


def test_the_least_recently_used_part_is_evicted():
    cache = PromptCache.of_memory(40_000)
    cache.record_prefill(build_prompt('a1'))
    cache.record_prefill(build_prompt('b2'))
    cache.record_prefill(build_prompt('a1'))
    cache.record_prefill(build_prompt('c3'))
    assert cache.uncached_tokens(build_prompt('a1')) == 500
    assert cache.uncached_tokens(build_prompt('b2')) == 13_500


def test_counts_that_contradict_each_other_leave_no_negative_tokens():
    """A caller's header may give fewer tokens than its parts have."""
    parts = (PromptPart('a1', 5000), PromptPart('c', 10))
    prompt = Prompt(parts, 100, 5)
    cache = PromptCache.of_memory(40_000)
    cache.record_prefill(prompt)

    assert not prompt.own_tokens
    assert not cache.uncached_tokens(prompt)
