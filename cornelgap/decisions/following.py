"""Selection of the instances that follow the store, and takeover from them.

Every instance has to learn of a change within seconds, but each call to the
store is billed, and the store's rate limits grow more slowly than the fleet.
A watch per instance would make calls in proportion to instances times
seconds.  Instead the first instance of each availability zone, by rendezvous
rank, is the follower: it watches the store and informs the others.

The follower can crash, be paused, be cut off, or hold a connection that has
stopped delivering without an error, which it cannot notice itself.  The other
instances therefore do not rely on the follower's liveness.  Each checks the
age of its own data, whatever its source, and follows the store itself once
the data is too old.  Higher ranks wait longer, so that a single instance
takes over rather than all at once.
"""

import math

from msgspec import Struct

MIN_WATCH_WAIT_S = 0.5
"""Shortest wait of a watch; each watch is a billed call."""

MAX_WATCH_WAIT_S = 5.0
"""Longest wait of a watch; bounds how long a silent connection is unnoticed."""

STALENESS_MARGIN_S = 0.5
"""How much older than the longest wait of a watch data may be.

Covers the answer of a slow store (0.25 s) and a lost datagram."""

STAGGER_PER_RANK_S = 0.15
"""Additional age before each further rank takes over.

The instance that takes over lists the store in 10 ms and informs the others
at once, so that they need not take over too."""

MAX_STAGGER_S = 0.6
"""Limit on the total stagger of a rank.

Keeps the delay of a change below the three seconds promised to operators even
if all instances of lower rank are gone: 1 s wait + 0.5 s margin + 0.6 s stagger
+ the time of a list."""

START_DELAY_S = 2.0
"""Time after its start in which an instance does not follow the store.

The instance has listed everything once and discovers its peers meanwhile.  If
instances that start together all followed until they know each other, each
change of a target would cost a call from each of them.  Changes that arrive
late in this period still arrive within the promised time."""

HANDBACK_DELAY_S = 1.0
"""How long another instance must have followed before this one stops."""


def compute_max_watch_wait(bound_s):
    """Return the longest wait of a watch, in seconds.

    :param bound_s: seconds within which a change must be in force.
    """
    return max(MIN_WATCH_WAIT_S, min(bound_s / 3, MAX_WATCH_WAIT_S))


class FollowerRole(Struct):
    """Decides whether this instance follows the store.

    :param wait_s: longest wait of a watch, in seconds.
    :param started_at: start time of the process, in seconds.
    :param active: whether it follows now.
    :param redundant_since: when another instance of lower rank began to
        follow; None if none does.
    """

    wait_s: float
    started_at: float = float('-inf')
    active: bool = False
    redundant_since: float | None = None

    def decide(self, now, rank, age_s, other_follows):
        """Update and return whether this instance follows the store.

        :param rank: number of live instances of the zone that rank lower.
        :param age_s: age of the oldest piece of data, in seconds; infinite if
            one is missing.
        :param other_follows: whether an instance of lower rank is known to
            follow and has fresh data.
        """
        if rank == 0 or not other_follows:
            self.redundant_since = None
        elif self.redundant_since is None:
            self.redundant_since = now
        if self.active:
            since = self.redundant_since
            if since is not None and now - since >= HANDBACK_DELAY_S:
                self.active = False
        elif now - self.started_at >= START_DELAY_S:
            waited_s = self._compute_news_wait(now, age_s)
            self.active = rank == 0 or waited_s > self.compute_max_age(rank)
        return self.active

    def _compute_news_wait(self, now, age_s):
        """Return how long this instance has waited for news, in seconds.

        When a system starts for the first time, there is no configuration and
        ``age_s`` is infinite everywhere.  If that counted as too old, all
        instances would follow at the same moment and each would learn of
        every target's registration by calls of its own.  The time since the
        start is used instead.
        """
        if math.isfinite(age_s):
            return age_s
        return now - self.started_at - START_DELAY_S

    def compute_max_age(self, rank):
        """Return the age of data, in seconds, above which a rank takes over."""
        stagger = min(STAGGER_PER_RANK_S * max(0, rank - 1), MAX_STAGGER_S)
        return self.wait_s + STALENESS_MARGIN_S + stagger

    def is_fresh(self, age_s):
        """Return whether data of this age is as fresh as a follower's."""
        return age_s <= self.wait_s + STALENESS_MARGIN_S
