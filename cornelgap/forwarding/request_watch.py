"""Detection of requests that were not served, from callers' packets alone.

A target that drops a request, a connection reset by the target and a request
that hangs all look the same: the caller sends nothing more or repeats its
data.  An error response looks like a short answer.  Whether an answer takes
too long or is too short depends on the moving averages of its route.  The
module reads no clock: each method is given the time.
"""

import heapq

from msgspec import Struct, field

from cornelgap.decisions.averages import Average

SAMPLE_WEIGHT = 0.02
"""Weight of one answer in a route's moving averages, which so cover about
the last fifty answers."""

SLOWER_SAMPLE_WEIGHT = 0.002
"""Weight of an answer that took longer than the average.  A burst slows all
answers for seconds, and the waits at full targets must not become the
average."""

PROMPT_FACTOR = 2.0
"""An answer that takes up to this many times the average duration is prompt.
Requests differ in work; one that has waited in the queue of a full target
takes at least three times as long."""

OVERDUE_FACTOR = 4.0
"""A request that takes this many times its route's average duration has
failed, or waits at a target that is much slower than its peers."""

MIN_OVERDUE_S = 0.3
"""Shortest wait after which a request is overdue.  Answers of a cold target,
or after one lost packet, take up to 0.2 s longer than others."""

DEFAULT_ANSWER_S = 0.1
"""Duration assumed for a route before its first answer."""

SHORT_SIZE_FACTOR = 0.25
"""An answer smaller than this factor times the route's average size is
short.  Complete answers of one kind differ by a factor of two or three."""

MAX_SHORT_SHARE = 0.2
"""Share of short answers from which on they are normal for a route and no
sign of a failed target: the answers of the service differ in length, or the
service as a whole fails."""


class _RouteAverages(Struct):
    """Moving averages of the answers of a route.

    :param duration_s: time until the answer.
    :param size: size of the answer in bytes.
    :param short_share: share of short answers.
    """

    duration_s: Average = field(default_factory=lambda: Average(SAMPLE_WEIGHT))
    size: Average = field(default_factory=lambda: Average(SAMPLE_WEIGHT))
    short_share: Average = field(default_factory=lambda: Average(SAMPLE_WEIGHT))


class RequestWatch:
    """Waiting requests, in the order in which they become overdue."""

    def __init__(self):
        """Start without requests and averages."""
        self._averages_by_route = {}
        self._due = []

    def note_request(self, key, now):
        """Record that a request has begun to wait.

        :param key: the flow's key; its last two parts are the address and
            port of the route.
        """
        mean_s = self._get_averages(key).duration_s.read(DEFAULT_ANSWER_S)
        due_at = now + max(MIN_OVERDUE_S, OVERDUE_FACTOR * mean_s)
        heapq.heappush(self._due, (due_at, now, key))

    def note_answer(self, key, duration_s):
        """Record how long a request on a flow's route has taken.

        :returns: whether the answer was prompt.
        """
        averages = self._get_averages(key)
        mean_s = averages.duration_s.read(duration_s)
        slower = duration_s > mean_s
        averages.duration_s.add(
            duration_s, SLOWER_SAMPLE_WEIGHT if slower else SAMPLE_WEIGHT
        )
        return duration_s <= PROMPT_FACTOR * mean_s

    def note_size(self, key, size):
        """Record how many bytes an answer had.

        :returns: whether it is short, on a route where few answers are.
        """
        averages = self._get_averages(key)
        short = size < SHORT_SIZE_FACTOR * averages.size.read(0)
        averages.size.add(size)
        averages.short_share.add(int(short))
        return short and averages.short_share.read(0) < MAX_SHORT_SHARE

    def pop_due(self, now):
        """Remove and return the requests whose time limit has passed.

        Most of them have been answered since, so check each one.

        :returns: tuples (flow key, time of the request).
        """
        due = []
        while self._due and self._due[0][0] <= now:
            _, since, key = heapq.heappop(self._due)
            due.append((key, since))
        return due

    def clear(self):
        """Drop all requests, as after a stall of this process."""
        self._due = []

    def keep_routes(self, route_keys):
        """Drop the averages of all routes but these."""
        for route_key in self._averages_by_route.keys() - route_keys:
            self._averages_by_route.pop(route_key)

    def _get_averages(self, key):
        route_key = key[2:]
        averages = self._averages_by_route.get(route_key)
        if averages is None:
            averages = self._averages_by_route[route_key] = _RouteAverages()
        return averages
