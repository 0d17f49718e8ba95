"""Which instances to exchange views with, and which have not answered.

Within a region the partners are met in turn, so that none is left out for long;
a random choice would leave out one in five for three times the mean.
"""

from collections.abc import Sequence
from math import ceil
from random import Random
from typing import Final, final

import attrs

from masticstage.membership import Member

#: Instances of a region for each partner of a round, and the most partners. The
#: cost of an instance must not grow with the size of the fleet.
_INSTANCES_PER_PARTNER: Final = 13
_MAX_PARTNERS: Final = 3
#: Largest number of a question; the field of the message has 32 bits.
_MAX_NUMBER: Final = 0xFFFFFFFF


@final
@attrs.define
class PartnerCycle:
    """Meets all instances of a region in turn, in a random order."""

    _random: Random
    _remaining: list[str] = attrs.field(factory=list)

    def next_partners(self, peers: Sequence[Member]) -> list[Member]:
        """Returns the partners of the next round among the given peers."""
        by_name = {peer.identity.name: peer for peer in peers}
        count = min(_MAX_PARTNERS, ceil(len(peers) / _INSTANCES_PER_PARTNER))
        partners: list[Member] = []
        while len(partners) < count:
            if not self._remaining:
                self._remaining = list(by_name)
                self._random.shuffle(self._remaining)
            partner = by_name.pop(self._remaining.pop(), None)
            if partner is not None:
                partners.append(partner)
        return partners


@attrs.frozen
class Question:
    """A message that asks a member for an answer; `asked_at_s` is monotonic."""

    member: Member
    asked_at_s: float


@final
@attrs.define
class OpenQuestions:
    """Questions sent in datagrams that have not been answered yet."""

    _open: dict[int, Question] = attrs.field(factory=dict)
    _last_number: int = 0

    def ask(self, member: Member, now_s: float) -> int:
        """Registers a question; returns its number, which is above 0."""
        self._last_number = self._last_number % _MAX_NUMBER + 1
        self._open[self._last_number] = Question(member, now_s)
        return self._last_number

    def close(self, number: int) -> Question | None:
        """Returns an open question that was answered; None if it is not."""
        return self._open.pop(number, None)

    def take_overdue(self, asked_before_s: float) -> list[Member]:
        """Closes the questions asked before a time; returns whom they asked."""
        overdue = [
            number
            for number, question in self._open.items()
            if question.asked_at_s < asked_before_s
        ]
        return [self._open.pop(number).member for number in overdue]
