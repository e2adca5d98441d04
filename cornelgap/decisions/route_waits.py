"""How long the answers of a route take while its targets have room.

Load pattern: all targets of a service are full, or all of them fail half of
their requests.  Both send short answers, but a full target sends each whole
answer only after a queue's wait.  The time without that wait is learnt while
targets have room: an overload that lasts for minutes must not make its own
waits the usual ones.
"""

from cornelgap.decisions.averages import Average

SHARE = 0.02
"""Weight of an answer that came sooner than usual: about the last fifty."""

RISE_SHARE = 0.0005
"""Weight of one that came later.  Load close to what the targets serve lets
queues grow for minutes without a shed."""

LEAST = 16
"""Answers of a route from which on it is known how long they take."""

PROMPT_FACTOR = 2.0
"""An answer that takes up to so many times the usual time has hardly waited.
A full queue takes three times as long and more."""


class RouteWaits:
    """The usual wait of one route."""

    def __init__(self):
        """Know no answer."""
        self._usual_s = Average(SHARE)
        self._answers = 0

    def learn(self, waited_s):
        """Learn from a whole answer of a target with room.

        :param waited_s: seconds for which its caller waited.
        """
        self._answers += 1
        later = waited_s > self._usual_s.read(waited_s)
        share = RISE_SHARE if later else SHARE
        if self._answers <= LEAST:
            share = 1 / self._answers
        self._usual_s.add(waited_s, share)

    def is_prompt(self, waited_s):
        """Say whether an answer came as from a target with room.

        :param waited_s: seconds for which its caller waited.
        :returns: None if too few answers were seen to tell.
        """
        if self._answers < LEAST:
            return None
        return waited_s <= PROMPT_FACTOR * self._usual_s.read(waited_s)
