"""How long the answers of a route take while its targets have room.

Load pattern: all targets of a service are full, or all of them fail half of
their requests.  In both cases many answers are short, but a full target sends
each regular answer only after a wait in its queue.  The time without that
wait is learned while the targets have room; otherwise an overload that lasts
for minutes would make its own waits the usual ones.
"""

from cornelgap.decisions.averages import Average

DECREASE_WEIGHT = 0.02
"""Weight of an answer that came sooner than usual: the mean covers about the
last fifty."""

INCREASE_WEIGHT = 0.0005
"""Weight of an answer that came later than usual.  It is smaller because at a
load close to the capacity queues grow for minutes before a target sheds."""

MIN_ANSWERS = 16
"""Answers of a route after which its usual wait is known."""

PROMPT_FACTOR = 2.0
"""An answer is prompt up to this many times the usual wait; it has hardly
waited in a queue.  With a full queue, answers take three times as long and
more."""


class RouteWaits:
    """The usual wait for an answer on one route."""

    def __init__(self):
        """Start without any answer."""
        self._usual_s = Average(DECREASE_WEIGHT)
        self._answers = 0

    def learn(self, waited_s):
        """Update the usual wait from a regular answer of a target with room.

        :param waited_s: seconds for which its caller waited.
        """
        self._answers += 1
        later = waited_s > self._usual_s.read(waited_s)
        weight = INCREASE_WEIGHT if later else DECREASE_WEIGHT
        if self._answers <= MIN_ANSWERS:
            weight = 1 / self._answers
        self._usual_s.add(waited_s, weight)

    def is_prompt(self, waited_s):
        """Return whether an answer came as soon as from a target with room.

        :param waited_s: seconds for which its caller waited.
        :returns: None if there were too few answers to tell.
        """
        if self._answers < MIN_ANSWERS:
            return None
        return waited_s <= PROMPT_FACTOR * self._usual_s.read(waited_s)
