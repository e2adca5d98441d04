"""Which requests have not been served, as far as callers' packets tell.

A target that swallows a request, a connection that the target has reset and
a request that hangs look alike: the caller sends nothing more, or the same
again.  An error looks like a short answer.  What is too long or too short
follows from the usual answers of the route.  Nothing here knows a clock.
"""

import heapq

from msgspec import Struct, field

from cornelgap.decisions.averages import Average

SHARE = 0.02
"""Weight of one answer in what is usual on a route: about the last fifty."""

RISE_SHARE = 0.002
"""The same where it was slower than usual.  A burst makes all answers slow
for seconds, and what a full target does must not pass for usual."""

PROMPT_FACTOR = 2.0
"""An answer that takes up to so many times the usual time is prompt.  Work
differs between requests; one that has waited in a full target's queue takes
three times as long and more."""

FACTOR = 4.0
"""A request that takes so many times its route's usual time has failed, or
waits at a target that is much slower than its peers."""

LEAST_S = 0.3
"""Shortest wait that counts.  Answers of a cold target, or after one lost
packet, take up to 0.2 s longer than usual ones."""

USUAL_S = 0.1
"""Usual time of a route before its first answer."""

SHORT_SHARE = 0.25
"""An answer of less than this share of the route's usual bytes is short.
Whole answers of one kind differ by a factor of two or three."""

MOST_SHORT = 0.2
"""Share of short answers from which on they are a route's habit and say
nothing: a service whose answers differ in length, or one that fails."""


class _Usual(Struct):
    """The usual answers of a route.

    :param seconds: how long they take.
    :param size: how many bytes they have.
    :param shorts: share of them that is short.
    """

    seconds: Average = field(default_factory=lambda: Average(SHARE))
    size: Average = field(default_factory=lambda: Average(SHARE))
    shorts: Average = field(default_factory=lambda: Average(SHARE))


class RequestWatch:
    """Requests that wait, by the time at which they are overdue."""

    def __init__(self):
        """Watch nothing."""
        self._usual = {}
        self._due = []

    def note_request(self, key, now):
        """Note that a request has begun to wait.

        :param key: the flow's key; its last two parts name the route.
        """
        usual_s = self._find_usual(key).seconds.read(USUAL_S)
        due_at = now + max(LEAST_S, FACTOR * usual_s)
        heapq.heappush(self._due, (due_at, now, key))

    def note_answer(self, key, seconds):
        """Note how long a request of a flow's route has taken.

        :returns: whether that is about as usual.
        """
        usual = self._find_usual(key)
        usual_s = usual.seconds.read(seconds)
        slower = seconds > usual_s
        usual.seconds.add(seconds, RISE_SHARE if slower else SHARE)
        return seconds <= PROMPT_FACTOR * usual_s

    def note_size(self, key, size):
        """Note how many bytes an answer had.

        :returns: whether it is an unusually short one.
        """
        usual = self._find_usual(key)
        short = size < SHORT_SHARE * usual.size.read(0)
        usual.size.add(size)
        usual.shorts.add(int(short))
        return short and usual.shorts.read(0) < MOST_SHORT

    def take_due(self, now):
        """Return tuples (flow key, time of the request) that are due.

        Most of these requests have been answered since.
        """
        found = []
        while self._due and self._due[0][0] <= now:
            _, since, key = heapq.heappop(self._due)
            found.append((key, since))
        return found

    def clear(self):
        """Forget all requests, as after a standstill of our own."""
        self._due = []

    def keep_routes(self, places):
        """Forget the usual times of all routes but these."""
        for place in self._usual.keys() - places:
            self._usual.pop(place)

    def _find_usual(self, key):
        place = key[2:]
        usual = self._usual.get(place)
        if usual is None:
            usual = self._usual[place] = _Usual()
        return usual
