"""Which part of the short answers of a service are errors.

Load pattern: half of all requests fail at once, at all targets, and none is
full.  Taken for sheds, these answers close the gate; no cut makes them
fewer, so it closes further, and callers lose nine tenths of what would have
been served.  Errors may also begin during an overload or end in one: what
is refused then is only what the sheds among the short answers call for.

Cuts of the admitted shares tell errors from sheds.  Full targets serve as
much after a cut, and shed less; targets with room serve less, and fail the
same part of it.  Where it is known how long answers take while targets have
room, it also counts that full ones answer only after a queue's wait: other
instances may press these targets more at the same time.
"""

from cornelgap.decisions.answer_tally import Tally
from cornelgap.decisions.averages import Average, compute_decay

SHARE = 0.3
"""Weight of one step in the share of errors."""

HALF_LIFE_S = 2.0
"""Time in which a share of errors loses half of its weight.  While targets
are full it cannot be measured, and the errors may have ended."""

PROOF_S = 20.0
"""Time after which errors must be shown anew.  Cuts may also have seemed to
be without effect because other instances sent more."""

MOST = 0.98
"""Largest share of errors that is taken off; the rest keeps showing what
the targets serve."""

LARGE_CUT = 0.75
"""Part of what was served that targets with room serve at most after cuts
whose result counts."""

SIGNS = 2
"""Cuts in a row without effect from which on short answers are errors."""

SAME_SHARE = 0.5
"""Part of the share of short answers of before the cuts from which on it
counts as unchanged; few answers show it roughly."""


class CutSeries:
    """Cuts without a raise between them, and what they have changed.

    :ivar served_per_s: whole answers before the first one.
    """

    def __init__(self, tally, span_s):
        """Start before the first cut.

        :param tally: :class:`~cornelgap.decisions.answer_tally.Tally`.
        :param span_s: seconds in which it was counted.
        """
        self._before = tally
        self._span_s = span_s
        self._kept = dict.fromkeys(tally.priorities, 1)
        self._signs = 0
        self._judged = True
        self.served_per_s = tally.served / span_s

    def note_cut(self, before, shares):
        """Note a cut.

        :param before: admitted share by priority.
        :param shares: the same after the cut.
        """
        for priority, kept in self._kept.items():
            part = shares.get(priority, 1) / before.get(priority, 1)
            self._kept[priority] = kept * part
        self._judged = False

    def is_relieved(self, tally):
        """Say whether short answers have become fewer since the first cut.

        Only priorities that were cut count: others may have no errors.
        """
        names = [name for name, kept in self._kept.items() if kept < 1]
        share = self._before.compute_short_share(names)
        return tally.compute_short_share(names) < SAME_SHARE * share

    def shows_room(self, tally, span_s):
        """Say whether the targets cannot have been full; asked once a cut.

        One cut may also be followed by fewer answers because other instances
        send more; two in a row rarely are.

        :param tally: what was seen since the last cut.
        :param span_s: seconds in which it was counted.
        """
        failing_per_s = sum(
            kept * self._before.count_served(name) / self._span_s
            for name, kept in self._kept.items()
        )
        if self._judged or failing_per_s > LARGE_CUT * self.served_per_s:
            return False
        self._judged = True
        least_per_s = (self.served_per_s + failing_per_s) / 2
        less = tally.served < least_per_s * span_s
        failed = less and not self.is_relieved(tally)
        self._signs = self._signs + 1 if failed else 0
        return self._signs >= SIGNS


class ErrorShares:
    """The share of errors among the answers of each priority."""

    def __init__(self):
        """Know no errors."""
        self._shares = {}
        self._shown_at = self._measured_at = float('-inf')

    def note_shown(self, now):
        """Note that cuts have shown the short answers to be errors."""
        self._shown_at = now

    def are_shown(self, now):
        """Say whether short answers were lately shown to be errors."""
        return now - self._shown_at < PROOF_S

    def measure(self, tally, now):
        """Take all short answers for errors, since targets have room.

        :param tally: :class:`~cornelgap.decisions.answer_tally.Tally`.
        """
        for priority, answers in tally.priorities.items():
            share = tally.shorts.get(priority, 0) / answers
            self._shares.setdefault(priority, Average(SHARE)).add(share)
        self._measured_at = now

    def take_off(self, tally, failing, now):
        """Return a tally without the answers that are probably errors.

        :param tally: :class:`~cornelgap.decisions.answer_tally.Tally`.
        :param failing: whether all short ones are known to be errors.
        """
        errors = tally.shorts if failing else self._count_errors(tally, now)
        if not errors:
            return tally
        left = 1 - sum(errors.values()) / tally.sheds
        return Tally(
            tally.since,
            {
                target: [answers - sheds * (1 - left), sheds * left]
                for target, (answers, sheds) in tally.targets.items()
            },
            {
                priority: answers - errors.get(priority, 0)
                for priority, answers in tally.priorities.items()
            },
            tally.offered,
            {
                priority: shorts - errors.get(priority, 0)
                for priority, shorts in tally.shorts.items()
            },
            tally.waits,
        )

    def _count_errors(self, tally, now):
        kept = compute_decay(now - self._measured_at, HALF_LIFE_S)
        found = {}
        for priority, average in self._shares.items():
            share = min(MOST, average.read(0) * kept)
            answers = tally.priorities.get(priority, 0)
            number = min(share * answers, tally.shorts.get(priority, 0))
            if number:
                found[priority] = number
        return found


def are_late(tally):
    """Say whether those targets that shed answer after a queue's wait.

    :param tally: :class:`~cornelgap.decisions.answer_tally.Tally`.
    """
    prompt, late = tally.count_waits()
    return late > prompt
