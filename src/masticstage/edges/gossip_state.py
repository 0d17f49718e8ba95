"""What gossip keeps from round to round."""

from math import inf
from random import Random
from typing import Final, final

import attrs
import trio

from masticstage.edges.datagrams import DatagramSocket
from masticstage.forwarding.loads import SharedLoad
from masticstage.forwarding.partners import OpenQuestions, PartnerCycle

#: Age up to which loads are sent again, in seconds. Several messages of
#: one round carry the same.
_MAX_LOADS_AGE_S: Final = 0.1


@attrs.frozen
class _RecentLoads:
    loads: tuple[SharedLoad, ...]
    summed_at_s: float


@final
@attrs.define(eq=False)
class CatchUpState:
    """The last fetch of records for requests that could not wait for gossip.

    `is_current` is whether all records were known after it.
    """

    lock: trio.Lock = attrs.field(factory=trio.Lock)
    started_at_s: float = -inf
    is_current: bool = False


@final
@attrs.define
class GossipState:
    """Partners, open questions and the socket for datagrams, if there is one.

    `misses` counts unanswered exchanges in a row, by instance.
    `peer_positions` are those of the records of other instances, by name: era
    and revision.  Lost records of the platform have been fetched from a peer in
    `lost_era`.
    """

    random: Random
    partners: PartnerCycle = attrs.field(init=False)
    questions: OpenQuestions = attrs.field(factory=OpenQuestions)
    misses: dict[str, int] = attrs.field(factory=dict)
    peer_positions: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    round_number: int = 0
    is_fetching: bool = False
    is_waiting_for_near: bool = False
    lost_era: int = 0
    datagrams: DatagramSocket | None = None
    catch_up: CatchUpState = attrs.field(factory=CatchUpState)
    _loads: dict[bool, _RecentLoads] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Starts a cycle of partners."""
        self.partners = PartnerCycle(self.random)

    def recent_loads(
        self,
        now_s: float,
        *,
        is_own_region: bool,
    ) -> tuple[SharedLoad, ...] | None:
        """Returns loads that were taken a moment ago, None without any."""
        kept = self._loads.get(is_own_region)
        if kept is None or now_s - kept.summed_at_s > _MAX_LOADS_AGE_S:
            return None
        return kept.loads

    def keep_loads(
        self,
        now_s: float,
        loads: tuple[SharedLoad, ...],
        *,
        is_own_region: bool,
    ) -> None:
        """Keeps loads for the next messages."""
        self._loads[is_own_region] = _RecentLoads(loads, now_s)
