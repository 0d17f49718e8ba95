"""How long an instance waits between two reads of changed records.

All instances watch the platform, whose rate limit they share, and tell each
other what they read. The more of them there are, the sooner one has read a
change, so each may wait for longer.
"""

from typing import Final

#: Pause in a small fleet, so that the next changes of a start or a release
#: arrive in one batch (s).
_PAUSE_S: Final = 1.0
#: Largest fleet for which that holds, and what each further instance adds (s).
_SMALL_FLEET: Final = 10
_PAUSE_FOR_EACH_S: Final = 0.02
#: Longest pause: half of the time in which a change has to be in force in a
#: fleet of that size.
_MAX_PAUSE_S: Final = 2.5


def batch_pause_s(live_instances: int) -> float:
    """Returns the pause after a watch that returned changes, in seconds."""
    further = max(0, live_instances - _SMALL_FLEET)
    return min(_MAX_PAUSE_S, _PAUSE_S + _PAUSE_FOR_EACH_S * further)
