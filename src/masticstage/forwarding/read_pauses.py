"""How long an instance waits for changed records, and between two reads.

All instances watch the platform, whose rate limit they share, and tell each
other what they read. The more of them there are, the sooner one has read a
change, so each may pause for longer.
"""

from typing import Final

#: Timeout for an answer after the wait of a watch has ended (s). The store
#: answers in milliseconds; the rest allows for a slow store and for another
#: region.
ANSWER_MARGIN_S: Final = 0.9
#: Time for a new connection to another region, an answer on it and its
#: application, after a watch on a dead connection was given up (s).
_RECONNECT_S: Final = 0.7
#: Shortest wait of a watch (s).
_MIN_WAIT_S: Final = 0.5
#: Pause in a small fleet, so that the next changes of a start or a release
#: arrive in one batch (s).
_PAUSE_S: Final = 1.0
#: Largest fleet for which that holds, and what each further instance adds (s).
_SMALL_FLEET: Final = 10
_PAUSE_FOR_EACH_S: Final = 0.02


def watch_wait_s(reconnect_s: float, since_answer_s: float) -> float:
    """Returns how long the next watch may wait for changes, in seconds.

    A connection that went silent after the last answer has to be replaced
    `reconnect_s` after that answer.
    """
    longest_s = reconnect_s - ANSWER_MARGIN_S - _RECONNECT_S
    return max(_MIN_WAIT_S, longest_s - since_answer_s)


def batch_pause_s(live_instances: int, in_force_s: float) -> float:
    """Returns the pause after a watch that returned changes, in seconds.

    It takes at most half of the time in which a change has to be in force.
    """
    further = max(0, live_instances - _SMALL_FLEET)
    return min(in_force_s / 2, _PAUSE_S + _PAUSE_FOR_EACH_S * further)
