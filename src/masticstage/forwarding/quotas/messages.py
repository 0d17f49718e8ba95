"""What instances ask each other for, and what they get."""

import attrs


@attrs.frozen
class Ask:
    """Tokens that an instance asks of a keeper for one team.

    `needed` is for requests that wait, the smallest of which takes `least`.
    `ahead` is for requests that are expected, of a mean size of `least_ahead`.
    `returned` is the rest of the instance's earlier lease.
    """

    team: str
    needed: float = 0
    least: float = 0
    ahead: float = 0
    least_ahead: float = 0
    returned: float = 0


@attrs.frozen
class Grant:
    """Answer of a keeper about one team.

    `wait_s` is the time after which the tokens that are lacking are expected;
    `level` is what is left for the region. `is_declined` tells that the answer
    is from an instance that keeps nothing for the team. `excess` is the team's
    demand in the region as a multiple of its share in an overload.
    """

    team: str
    granted: float
    wait_s: float = 0
    level: float = 0
    is_declined: bool = False
    excess: float = 1
