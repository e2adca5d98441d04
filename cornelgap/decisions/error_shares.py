"""Estimates which part of a service's short answers are errors, not sheds.

Load pattern: half of all requests fail at once at all targets, and none of
them is full.  If these answers counted as sheds, the admitted shares would be
cut.  No cut makes errors fewer, so the shares would be cut again and again,
and callers would lose nine tenths of what could have been served.  Errors may
also begin or end during an overload; then only as much is refused as the
sheds among the short answers require.

Cuts of the admitted shares distinguish errors from sheds.  After a cut, full
targets serve as much as before and shed less, while targets with room serve
less and fail the same share of requests.  Since other instances may send more
to the same targets at the same time, waits count too where the usual wait of
a target with room is known: full targets answer only after a wait in their
queue.
"""

from cornelgap.decisions.answer_tally import Tally
from cornelgap.decisions.averages import Average, compute_decay

STEP_WEIGHT = 0.3
"""Weight of one step in the average share of errors."""

HALF_LIFE_S = 2.0
"""Half-life of a measured share of errors.  It can't be measured while
targets are full, and the errors may have ended."""

DETECTION_VALID_S = 20.0
"""Time after which errors must be detected again.  Cuts may also have seemed
ineffective because other instances sent more."""

MAX_ERROR_SHARE = 0.98
"""Upper limit of the share of answers that is subtracted as errors; the other
answers are needed to see what the targets serve."""

MAX_SERVED_SHARE = 0.75
"""Upper limit of what targets with room would serve after the cuts, as a part
of what was served before.  Smaller cuts say nothing about errors."""

MIN_INEFFECTIVE_CUTS = 2
"""Consecutive cuts without effect after which short answers are errors."""

UNCHANGED_FACTOR = 0.5
"""The share of short answers counts as unchanged from this part of its value
before the cuts; with few answers it is known only roughly."""


class CutSeries:
    """Consecutive cuts of the admitted shares and their effect.

    :ivar served_per_s: regular answers per second before the first cut.
    """

    def __init__(self, tally, span_s):
        """Start before the first cut.

        :param tally: :class:`~cornelgap.decisions.answer_tally.Tally`.
        :param span_s: length of its period, seconds.
        """
        self._before = tally
        self._span_s = span_s
        self._kept_shares = dict.fromkeys(tally.answers_by_priority, 1)
        self._ineffective_cuts = 0
        self._evaluated = True
        self.served_per_s = tally.served / span_s

    def note_cut(self, before, shares):
        """Record a cut.

        :param before: admitted share by priority before the cut.
        :param shares: the same after the cut.
        """
        for priority, kept in self._kept_shares.items():
            part = shares.get(priority, 1) / before.get(priority, 1)
            self._kept_shares[priority] = kept * part
        self._evaluated = False

    def is_shed_share_lower(self, tally):
        """Return whether the share of short answers fell since the first cut.

        Only priorities that were cut count; others may have no errors.
        """
        names = [name for name, kept in self._kept_shares.items() if kept < 1]
        share = self._before.compute_shed_share(names)
        return tally.compute_shed_share(names) < UNCHANGED_FACTOR * share

    def indicates_room(self, tally, span_s):
        """Return whether the cuts show that the targets had room.

        Each cut is evaluated once.  After a single cut there may also be fewer
        answers because other instances send more; after two in a row that is
        rare.

        :param tally: counts since the last cut.
        :param span_s: length of its period, seconds.
        """
        with_room_per_s = sum(
            kept * self._before.count_served(name) / self._span_s
            for name, kept in self._kept_shares.items()
        )
        if (
            self._evaluated
            or with_room_per_s > MAX_SERVED_SHARE * self.served_per_s
        ):
            return False
        self._evaluated = True
        threshold_per_s = (self.served_per_s + with_room_per_s) / 2
        served_less = tally.served < threshold_per_s * span_s
        ineffective = served_less and not self.is_shed_share_lower(tally)
        self._ineffective_cuts = (
            self._ineffective_cuts + 1 if ineffective else 0
        )
        return self._ineffective_cuts >= MIN_INEFFECTIVE_CUTS


class ErrorShares:
    """The share of errors among the answers of each priority."""

    def __init__(self):
        """Start without errors."""
        self._shares = {}
        self._detected_at = self._measured_at = float('-inf')

    def note_detection(self, now):
        """Record that cuts have shown the short answers to be errors."""
        self._detected_at = now

    def are_detected(self, now):
        """Return whether short answers were recently found to be errors."""
        return now - self._detected_at < DETECTION_VALID_S

    def measure(self, tally, now):
        """Update the share of errors while targets have room.

        All short answers are errors then.

        :param tally: :class:`~cornelgap.decisions.answer_tally.Tally`.
        """
        for priority, answers in tally.answers_by_priority.items():
            share = tally.sheds_by_priority.get(priority, 0) / answers
            self._shares.setdefault(priority, Average(STEP_WEIGHT)).add(share)
        self._measured_at = now

    def subtract_errors(self, tally, failing, now):
        """Return a copy of a tally without the answers that are likely errors.

        :param tally: :class:`~cornelgap.decisions.answer_tally.Tally`.
        :param failing: whether all short answers are known to be errors.
        """
        errors = (
            tally.sheds_by_priority
            if failing
            else self._count_errors(tally, now)
        )
        if not errors:
            return tally
        kept = 1 - sum(errors.values()) / tally.sheds
        return Tally(
            tally.since,
            {
                target: [answers - sheds * (1 - kept), sheds * kept]
                for target, (answers, sheds) in tally.answers_by_target.items()
            },
            {
                priority: answers - errors.get(priority, 0)
                for priority, answers in tally.answers_by_priority.items()
            },
            tally.openings_by_priority,
            {
                priority: sheds - errors.get(priority, 0)
                for priority, sheds in tally.sheds_by_priority.items()
            },
            tally.waits_by_target,
        )

    def _count_errors(self, tally, now):
        decay = compute_decay(now - self._measured_at, HALF_LIFE_S)
        errors = {}
        for priority, average in self._shares.items():
            share = min(MAX_ERROR_SHARE, average.read(0) * decay)
            answers = tally.answers_by_priority.get(priority, 0)
            number = min(
                share * answers, tally.sheds_by_priority.get(priority, 0)
            )
            if number:
                errors[priority] = number
        return errors


def answers_are_late(tally):
    """Return whether most answers of targets that shed come late.

    :param tally: :class:`~cornelgap.decisions.answer_tally.Tally`.
    """
    prompt, late = tally.count_waits()
    return late > prompt
