"""Admitted share of new flows, by priority, while targets shed load.

Load pattern: callers ask for several times what a service's targets serve.
A full target answers "not run", the caller retries at once, and each retry
is placed on a full target again.  One request then takes three tries, and
urgent requests are shed as often as all others.  Slots stay busy, but packets
of requests that are not served fill links and processors, and openings (the
first packets of new flows) wait behind them.

An instance measures which share of the answers that it forwards are sheds.
Above :data:`HIGH` it cuts what it admits to what the targets served, the
least urgent priority first.  Below :data:`LOW` it raises the admitted shares
again, the most urgent priority first, by what full targets have served in
excess of what they serve now.  A more urgent priority is cut only by the part
of its own demand that exceeds the capacity: less urgent requests on open
flows can't be refused, and more urgent ones must not be cut to make room for
them.

Answers count from the last change of the shares on, so that one overload does
not cause two cuts.  The size of a change follows from what was measured:
instances act independently, but all see the same share of sheds at the shared
targets and cut by the same factor.

If only a minority of the targets shed, nothing is cut.  Otherwise a few
targets that answer with errors would cause refusals for all others.  Errors
of all targets look like sheds, too; ``error_shares`` tells them apart.
"""

from cornelgap.decisions.answer_tally import Tally
from cornelgap.decisions.error_shares import (
    CutSeries,
    ErrorShares,
    answers_are_late,
)

WINDOW_S = 1.0
"""Age up to which answers count."""

STEP_S = 0.25
"""Interval between two changes: several round trips and the wait in a full
queue, so that most answers in it belong to openings after the last change."""

SHED_SHARE_GOAL = 0.05
"""Share of sheds that a cut aims at.  The targets' queues are then full
enough that no slot is idle, and one request in twenty needs a retry."""

HIGH = 0.1
LOW = 0.05
"""Shares of sheds above which the least urgent priority is cut and below
which it is raised.  For each more urgent priority both grow by the same
amount again.  The distance keeps random variation from changing shares."""

MIN_ANSWERS = 20
"""Answers that are needed to compute a share of sheds."""

MIN_SHEDS = 10
"""Sheds that are needed for an overload to begin or to grow."""

MIN_OVERLOADED_STEPS = 2
"""Consecutive steps with too many sheds before an overload begins.  A burst
that ends within one step leaves nothing to refuse."""

MIN_SHARE = 0.005
"""Share of a priority that is always admitted.  A caller of the least urgent
priority still gets through now and then, and answers show when there is
room."""

MIN_KEPT_PART = 0.1
"""Lower limit of what one cut leaves of a share.  Enough answers must remain
to show the effect of the cut."""

MIN_RAISE = 0.02
RELATIVE_RAISE = 0.1
"""Lower limit of a raise, absolute and as a part of the present share; targets
may serve more than when they were last full.  Twice as much for the second
least urgent priority, which takes its room from the least urgent one, and so
on."""

BUSY_SHARE = 0.5
"""Part of the capacity, as last measured at full targets, below which targets
have room.  Short answers that remain then are errors, and would otherwise
keep shares from being raised."""

RELATIVE_RAISE_WITH_ROOM = 0.5
"""Raise as a part of what is served, where targets that fail requests have
room, since no cut can make their errors fewer.  They may be full after two
such steps."""

MAX_TRIES = 3
"""Times that callers send a request that is shed or refused at once."""

STARTUP_S = 1.0
"""Time after a start or standstill in which sheds don't count.  Callers that
waited during an outage return with their next retransmission, 0.6 s later at
most; this burst is over before a refusal would help."""


def is_spread(sheds, shedding, targets):
    """Return whether sheds are spread over a majority of the targets.

    A few sheds can't come from many targets.  So they count as spread if they
    came from at least the expected number of targets for that many random
    draws from a bare majority.

    :param sheds: number of sheds.
    :param shedding: number of targets that they came from.
    :param targets: number of all targets that answered.
    """
    majority = (targets + 1) / 2
    expected = majority * (1 - (1 - 1 / majority) ** sheds)
    return shedding >= expected


def find_bounds(shares):
    """Return the shares of sheds below and above which shares change.

    They are higher where a more urgent priority would be changed.  Instances
    that see one overload differently then agree on the order: a less urgent
    priority admitted at one instance is cut while a more urgent one limited
    at another is raised.

    :param shares: admitted share by priority.
    :returns: tuple (share below which the most urgent limited priority is
        raised, share above which the least urgent admitted one is cut).
    """
    ordered = sorted(shares, reverse=True)
    limited = [name for name in ordered if shares[name] < 1]
    admitted = [name for name in ordered if shares[name] > MIN_SHARE]
    raised = ordered.index(limited[-1]) if limited else 0
    cut = ordered.index(admitted[0]) if admitted else len(ordered)
    return LOW * (1 + raised), HIGH * (1 + cut)


def cut_shares(shares, tally):
    """Cut admitted shares to what targets served, the least urgent first.

    :param shares: admitted share by priority; priority 0 is the most urgent.
    :param tally: :class:`Tally`.
    :returns: the new shares by priority.
    """
    shed_share = tally.sheds / tally.answers
    capacity = (tally.answers - tally.sheds) / (1 - SHED_SHARE_GOAL)
    # A request that is no longer shed is not retried.  Of a priority that is
    # already limited, as many requests are admitted as before.
    expected_tries = sum(shed_share**number for number in range(MAX_TRIES))
    demands = {
        priority: answers
        / (expected_tries if shares.get(priority, 1) >= 1 else 1)
        for priority, answers in tally.answers_by_priority.items()
    }
    new_shares = dict(shares)
    least_urgent = max(shares)
    for priority in sorted(shares, reverse=True):
        share = shares[priority]
        remaining = capacity - sum(
            demand for other, demand in demands.items() if other < priority
        )
        answers = tally.answers_by_priority.get(priority, 0)
        own_demand = (
            answers if priority == least_urgent else demands.get(priority, 0)
        )
        if answers and share > MIN_SHARE and remaining < own_demand:
            kept = max(remaining / answers, MIN_KEPT_PART)
            new_shares[priority] = max(share * kept, MIN_SHARE)
        if remaining > 0 and share > MIN_SHARE:
            break
        # Requests on open flows can't be refused; more urgent priorities
        # are not cut to make room for them.
        admitted = (
            tally.openings_by_priority.get(priority, 0) * new_shares[priority]
        )
        capacity -= min(answers, admitted)
    return new_shares


def raise_shares(shares, openings_by_priority, spare):
    """Raise admitted shares, the most urgent priority first.

    :param shares: admitted share by priority.
    :param openings_by_priority: number of openings by priority, including
        refused ones.
    :param spare: number of further openings that targets could have served.
    :returns: the new shares by priority.
    """
    new_shares = dict(shares)
    ordered = sorted(shares)
    ranks = {name: rank for rank, name in enumerate(reversed(ordered))}
    for priority in ordered:
        share = shares[priority]
        if share >= 1:
            continue
        openings = openings_by_priority.get(priority, 0)
        refused = openings * (1 - share)
        if refused > spare:
            step = max(MIN_RAISE, RELATIVE_RAISE * share) * (
                1 + ranks[priority]
            )
            new_shares[priority] = min(1, share + max(step, spare / openings))
            break
        new_shares[priority] = 1
        spare -= refused
    return new_shares


class AdmissionGate:
    """Controls the admitted shares of one service.

    :param priorities: of the service's requests.
    :ivar shares: admitted share by priority; all 1 while there is room.
    :ivar began_at: start of the present overload, None without one.
    :ivar shed_share: share of sheds at the last step, without errors.
    :ivar targets_have_room: whether targets had room at the last step.
    :ivar failing: whether the short answers at the last step were errors of
        targets that had room.
    """

    def __init__(self, priorities):
        """Admit everything."""
        self.shares = dict.fromkeys(priorities, 1)
        self.began_at = None
        self.shed_share = 0
        self.targets_have_room = self.failing = False
        self._overloaded_steps = 0
        self._capacity_per_s = 0
        self._errors = ErrorShares()
        self._cut_series = None
        self._next_step_at = float('-inf')
        self._previous = self._current = Tally(float('-inf'))

    @property
    def limited(self):
        """Return whether any opening may be refused."""
        return self.began_at is not None

    @property
    def _is_suspected(self):
        return (
            not self.limited
            and 0 < self._overloaded_steps < MIN_OVERLOADED_STEPS
        )

    def set_priorities(self, priorities):
        """Apply the priorities of a newer configuration."""
        self.shares = {name: self.shares.get(name, 1) for name in priorities}
        self._detect_end()

    def note_answer(self, target, priority, shed, answered_at, prompt=None):
        """Count an answer, unless it is older than the counted period.

        :param prompt: whether it came as soon as from a target with room;
            None if that is not known.
        """
        if answered_at >= self._current.since:
            self._current.add(target, priority, shed, prompt)
        elif answered_at >= self._previous.since:
            self._previous.add(target, priority, shed, prompt)

    def note_opening(self, priority):
        """Count an opening, admitted or not."""
        self._current.add_opening(priority)

    def step(self, now, starting=False):
        """Adjust the admitted shares once in :data:`STEP_S`.

        :param starting: whether sheds don't count yet, see :data:`STARTUP_S`.
        :returns: whether the shares have changed.
        """
        if now < self._next_step_at:
            return False
        self._next_step_at = now + STEP_S
        if starting:
            self._previous = self._current = Tally(now)
            return False
        tally = self._merge_tallies()
        span_s = min(WINDOW_S, now - tally.since)
        if tally.answers < MIN_ANSWERS and span_s < WINDOW_S:
            return False
        before, self.shares = (
            self.shares,
            self._compute_shares(tally, span_s, now),
        )
        changed = self.shares != before
        if changed:
            self._note_change(now)
        if changed or self._is_suspected:
            self._previous = self._current = Tally(now)
        elif now - self._current.since >= WINDOW_S / 2:
            self._previous, self._current = self._current, Tally(now)
        return changed

    def _merge_tallies(self):
        if self._previous is self._current:
            return self._current
        merged = Tally(self._previous.since)
        merged.merge(self._previous)
        merged.merge(self._current)
        return merged

    def _compute_shares(self, tally, span_s, now):
        short_share = tally.sheds / max(1, tally.answers)
        self.failing = self._is_failing(tally, span_s, now)
        if self.failing:
            self._errors.measure(tally, now)
        self.targets_have_room = self.failing or (
            not self.limited and short_share < HIGH
        )
        corrected = self._errors.subtract_errors(tally, self.failing, now)
        self.shed_share = corrected.sheds / max(1, corrected.answers)
        low, high = find_bounds(self.shares)
        spread = is_spread(
            corrected.sheds,
            corrected.count_shedding(),
            len(corrected.answers_by_target),
        )
        above_limit = self.shed_share > high and corrected.sheds >= MIN_SHEDS
        if above_limit and spread:
            return self._compute_cut(corrected, span_s)
        self._overloaded_steps = 0
        if self.shed_share < low:
            self._cut_series = None
        capacity = self._capacity_per_s * span_s
        busy = tally.served >= BUSY_SHARE * capacity
        if self.failing and short_share >= low:
            spare = max(
                capacity - corrected.answers,
                RELATIVE_RAISE_WITH_ROOM * corrected.answers,
            )
            # Number of openings for each one that does not fail.
            spare *= tally.answers / max(1, corrected.answers)
            return raise_shares(self.shares, tally.openings_by_priority, spare)
        if self.shed_share < low or not spread or not busy:
            spare = (
                0
                if corrected.sheds and busy
                else max(0, capacity - corrected.answers)
            )
            return raise_shares(self.shares, tally.openings_by_priority, spare)
        return self.shares

    def _is_failing(self, tally, span_s, now):
        """Return whether the short answers are errors of targets with room."""
        if answers_are_late(tally):
            self._cut_series = None
            return False
        if not tally.sheds:
            return False
        if self._cut_series is not None and self._cut_series.indicates_room(
            tally, span_s
        ):
            self._errors.note_detection(now)
            self._capacity_per_s = self._cut_series.served_per_s
            self._cut_series = None
        return self._errors.are_detected(now)

    def _compute_cut(self, tally, span_s):
        self._overloaded_steps += 1
        if self._is_suspected:
            return self.shares
        self._capacity_per_s = tally.served / span_s
        if self._cut_series is None or self._cut_series.is_shed_share_lower(
            tally
        ):
            self._cut_series = CutSeries(tally, span_s)
        new_shares = cut_shares(self.shares, tally)
        self._cut_series.note_cut(self.shares, new_shares)
        return new_shares

    def _note_change(self, now):
        if self.began_at is None:
            self.began_at = now
        self._detect_end()

    def _detect_end(self):
        if all(share >= 1 for share in self.shares.values()):
            self.began_at = None
