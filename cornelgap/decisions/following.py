"""Who follows the store, and when somebody else takes over.

Load pattern: every instance must know of a change within seconds, yet each
call of the store is paid for and its rates grow more slowly than the
fleet.  A watch per instance costs calls by instances times seconds.  So the
first instance of each availability zone, by rendezvous rank, follows the
store and tells the others.

What can go wrong: the one that follows dies, stands still, is cut off, or
its connection has gone silent without an error.  It cannot know the last
one itself.  Therefore nobody trusts the follower to be alive; each instance
looks at the age of what it knows, whoever told it, and follows the store
itself once that is too old.  Ranks wait a little for each other, so that
one of them takes over and not all at once.
"""

import math

from msgspec import Struct

SHORTEST_WAIT_S = 0.5
"""Each watch is a call that is paid for, so that shorter ones are not made."""

LONGEST_WAIT_S = 5.0
"""A connection that has gone silent is noticed no later than this."""

STALE_SLACK_S = 0.5
"""Age above the longest wait of a watch at which facts are too old: an
answer of a slow store (0.25 s) and a lost datagram do not matter yet."""

STAGGER_S = 0.15
"""Further age for each rank.  One list takes 10 ms and is told at once."""

LONGEST_STAGGER_S = 0.6
"""Bound of the sum, so that a change is in force in time even if all
instances of lower rank are gone: wait 1 s + 0.5 s + 0.6 s + a list stays
below the three seconds that operators are promised."""

START_S = 2.0
"""Time after the start in which an instance does not follow: it has listed
everything once, and finds the others meanwhile.  If all that start together
followed until they know each other, each change of a target would be a call
of each of them; what is heard late here is heard within the promised
time."""

STAND_DOWN_S = 1.0
"""Time for which another must have followed before this one stops."""


def compute_wait(bound_s):
    """Return the longest wait of a watch, seconds.

    :param bound_s: time in which a change must be in force.
    """
    return max(SHORTEST_WAIT_S, min(bound_s / 3, LONGEST_WAIT_S))


class Following(Struct):
    """Whether this instance follows the store.

    :param wait_s: longest wait of a watch, seconds.
    :param started_at: time of the process's start, seconds.
    :param active: whether it follows now.
    """

    wait_s: float
    started_at: float = float('-inf')
    active: bool = False
    relieved_since: float | None = None

    def decide(self, now, rank, age_s, other_follows):
        """Return whether to follow from now on.

        :param rank: instances of the zone before this one that are alive.
        :param age_s: age of the oldest of the facts, seconds; infinite if
            one is not known.
        :param other_follows: whether one of a lower rank is known to follow
            and has fresh facts.
        """
        if rank == 0 or not other_follows:
            self.relieved_since = None
        elif self.relieved_since is None:
            self.relieved_since = now
        if self.active:
            relieved = self.relieved_since
            if relieved is not None and now - relieved >= STAND_DOWN_S:
                self.active = False
        elif now - self.started_at >= START_S:
            waited_s = self._compute_wait(now, age_s)
            self.active = rank == 0 or waited_s > self.compute_limit(rank)
        return self.active

    def _compute_wait(self, now, age_s):
        """Return for how long this instance has waited for news, seconds.

        When a system starts for the first time there is no configuration
        yet, and what nobody can know has no age.  Taken to be too old, it
        would make all instances follow in the same moment, each hearing
        every target's registration by calls of its own.
        """
        if math.isfinite(age_s):
            return age_s
        return now - self.started_at - START_S

    def compute_limit(self, rank):
        """Return the age, seconds, above which a rank takes over."""
        stagger = min(STAGGER_S * max(0, rank - 1), LONGEST_STAGGER_S)
        return self.wait_s + STALE_SLACK_S + stagger

    def is_fresh(self, age_s):
        """Say whether facts of this age are as fresh as a follower's."""
        return age_s <= self.wait_s + STALE_SLACK_S
