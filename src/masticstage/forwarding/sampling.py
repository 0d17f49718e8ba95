"""Draws the candidates that are compared for one request.

Comparing all of 45 upstreams takes 3 ms, and all instances with the same view
would choose the same one.
"""

from collections.abc import Callable, Sequence
from itertools import chain, islice
from random import Random
from typing import Final, final

import attrs

from masticstage.forwarding.candidates import Candidate
from masticstage.forwarding.prefix_homes import find_holders
from masticstage.forwarding.requests import Prompt

#: Candidates drawn in this region and elsewhere, in addition to those that hold
#: the prefix.
_LOCAL_SAMPLE: Final = 6
_REMOTE_SAMPLE: Final = 4
#: How many of the local ones are those with an open connection, if there are.
_CONNECTED_SAMPLE: Final = 3
#: How many candidates that are known to hold the prefix are compared as well.
_HOLDERS_SAMPLE: Final = 4


def never_connected(_address: str) -> bool:
    """Returns that no connection is open."""
    return False


@final
@attrs.define
class CandidateSampler:
    """Draws candidates at random, with some that have an advantage.

    `is_connected` returns whether a connection to an address is open and
    unused.
    """

    _random: Random
    _is_connected: Callable[[str], bool] = never_connected

    def draw(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        source: Candidate | None,
    ) -> list[Candidate]:
        """Returns a sample with holders of the prefix and its source.

        The source may be none of the candidates and is left out then.
        """
        preferred = [source] if source else []
        if source:
            holders = find_holders(prompt, candidates)
            count = min(len(holders), _HOLDERS_SAMPLE)
            preferred.extend(self._random.sample(holders, count))
        sampled = {
            candidate.name: candidate
            for candidate in (
                *self._draw_local(candidates),
                *self._draw_remote(candidates),
            )
        }
        names = {candidate.name for candidate in candidates if preferred}
        for candidate in preferred:
            if candidate.name in names:
                sampled.setdefault(candidate.name, candidate)
        return list(sampled.values())

    def has_connection(self, candidate: Candidate) -> bool:
        """Returns whether a connection to a candidate is open and unused."""
        return self._is_connected(candidate.known_upstream.record.address)

    def _draw_local(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Returns a sample of this region; some have an open connection."""
        local = [candidate for candidate in candidates if candidate.via is None]
        self._random.shuffle(local)
        connected = list(
            islice(filter(self.has_connection, local), _CONNECTED_SAMPLE)
        )
        names = {candidate.name for candidate in connected}
        others = (
            candidate for candidate in local if candidate.name not in names
        )
        return list(islice(chain(connected, others), _LOCAL_SAMPLE))

    def _draw_remote(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        remote = [
            candidate for candidate in candidates if candidate.via is not None
        ]
        count = min(len(remote), _REMOTE_SAMPLE)
        return self._random.sample(remote, count)
