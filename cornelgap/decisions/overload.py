"""Which share of new flows is admitted while targets shed.

Load pattern: callers ask for several times what a service's targets serve.
A full target answers "not run", the caller retries at once, and each retry
is placed on a full target again: three tries for one request, and a request
that callers need most fares like any other.  Slots stay busy, but packets
that serve nobody fill links and processors, and openings wait behind them.

An instance measures which share of the answers that pass here are sheds.
Above :data:`HIGH` it cuts what it admits to what was served, least urgent
priority first; below :data:`LOW` it raises it again, most urgent first, by
what full targets have served beyond what they serve now.  A better priority
is cut only by what it asks beyond the room by itself: worse requests on
flows that are already open cannot be refused, and better ones must not make
room for them.  Evidence counts from the last change on, so
that one overload is not answered twice, and a change follows what was
measured: instances that act alone see the same share of sheds at the shared
targets and cut by the same factor.

Sheds of a minority of the targets close nothing.  Without this a few
targets that answer errors would turn callers away from all others.  Errors
of all targets look like sheds, too; ``error_shares`` tells them apart.
"""

from cornelgap.decisions.answer_tally import Tally
from cornelgap.decisions.error_shares import CutSeries, ErrorShares, are_late

WINDOW_S = 1.0
"""Age up to which answers count."""

STEP_S = 0.25
"""Time between two changes: several round trips and a full queue's wait, so
that most answers in it belong to openings after the last change."""

GOAL = 0.05
"""Share of sheds that a cut aims at.  Queues of the targets are then full
enough that no slot idles, and one request in twenty needs a retry."""

HIGH = 0.1
LOW = 0.05
"""Shares of sheds above which the least urgent priority is cut and below
which it is raised, and as much more for each better one; the distance keeps
chance from moving them."""

LEAST_ANSWERS = 20
"""Answers from which on their share of sheds says something."""

LEAST_SHEDS = 10
"""Sheds from which on an overload may begin or grow."""

SIGNS = 2
"""Steps in a row with too many sheds before an overload begins.  A rush that
ends within one leaves nothing to refuse."""

FLOOR = 0.005
"""Share of a priority that is always admitted.  A caller of the least urgent
one gets through now and then, and answers show when there is room."""

LEAST_KEPT = 0.1
"""Part of a share that a cut leaves at least.  Enough answers must be left
to show what the cut has changed."""

RAISE = 0.02
GROWTH = 0.1
"""Least step up, and step up as a part of the present share: targets may
serve more than when they were last full.  Twice as much for the next
better priority, which takes its room from the worst one."""

BUSY = 0.5
"""Part of what full targets have served below which they have room, whatever
short answers remain: these are errors, and would keep the gate closed."""

ROOM_GROWTH = 0.5
"""Step up as a part of what is served, where targets that fail requests have
room: no cut can make their errors fewer.  They may be full after two such
steps."""

TRIES = 3
"""Times that callers try a request, which is shed or refused, at once."""

YOUNG_S = 1.0
"""Time after a start or standstill in which sheds do not count.  Callers
that waited in an outage return with their next copy, 0.6 s later at most;
their rush is over before a refusal would help."""


def is_spread(sheds, shedding, targets):
    """Say whether sheds are spread over a majority of the targets.

    A few sheds cannot come from many targets.  They count as spread if they
    came from at least as many targets as chance would draw for so many from
    a bare majority.

    :param sheds: number of sheds.
    :param shedding: number of targets that they came from.
    :param targets: number of all targets that answered.
    """
    majority = (targets + 1) / 2
    expected = majority * (1 - (1 - 1 / majority) ** sheds)
    return shedding >= expected


def find_bounds(shares):
    """Find the shares of sheds below and above which shares change.

    They are higher where a more urgent priority is at stake.  Instances
    that see one overload differently then agree on what gives way first: a
    worse priority that is admitted at one is cut while a better one that is
    limited at another is raised.

    :param shares: admitted share by priority.
    :returns: tuple (share below which the most urgent limited priority is
        raised, share above which the least urgent admitted one is cut).
    """
    ordered = sorted(shares, reverse=True)
    limited = [name for name in ordered if shares[name] < 1]
    admitted = [name for name in ordered if shares[name] > FLOOR]
    raised = ordered.index(limited[-1]) if limited else 0
    cut = ordered.index(admitted[0]) if admitted else len(ordered)
    return LOW * (1 + raised), HIGH * (1 + cut)


def cut_shares(shares, tally):
    """Cut admitted shares to what targets served, the least urgent first.

    :param shares: admitted share by priority; 0 is the most urgent one.
    :param tally: :class:`Tally`.
    :returns: the new shares by priority.
    """
    shed_share = tally.sheds / tally.answers
    room = (tally.answers - tally.sheds) / (1 - GOAL)
    # A request that is no longer shed is not tried again; what passes of a
    # limited priority stays as many.
    tries = sum(shed_share**number for number in range(TRIES))
    demands = {
        priority: answers / (tries if shares.get(priority, 1) >= 1 else 1)
        for priority, answers in tally.priorities.items()
    }
    found = dict(shares)
    worst = max(shares)
    for priority in sorted(shares, reverse=True):
        share = shares[priority]
        left = room - sum(
            demand for other, demand in demands.items() if other < priority
        )
        answers = tally.priorities.get(priority, 0)
        wanted = answers if priority == worst else demands.get(priority, 0)
        if answers and share > FLOOR and left < wanted:
            kept = max(left / answers, LEAST_KEPT)
            found[priority] = max(share * kept, FLOOR)
        if left > 0 and share > FLOOR:
            break
        # Requests on open flows pass in any case; better ones are not cut
        # to make room for them.
        passed = tally.offered.get(priority, 0) * found[priority]
        room -= min(answers, passed)
    return found


def raise_shares(shares, offered, spare):
    """Raise admitted shares, the most urgent priority first.

    :param shares: admitted share by priority.
    :param offered: openings by priority, refused ones too.
    :param spare: openings that targets could have served besides.
    :returns: the new shares by priority.
    """
    found = dict(shares)
    ordered = sorted(shares)
    ranks = {name: rank for rank, name in enumerate(reversed(ordered))}
    for priority in ordered:
        share = shares[priority]
        if share >= 1:
            continue
        asked = offered.get(priority, 0)
        refused = asked * (1 - share)
        if refused > spare:
            step = max(RAISE, GROWTH * share) * (1 + ranks[priority])
            found[priority] = min(1, share + max(step, spare / asked))
            break
        found[priority] = 1
        spare -= refused
    return found


class Gate:
    """The admitted shares of one service.

    :param priorities: of the service's requests.
    :ivar shares: admitted share by priority; all 1 while there is room.
    :ivar began_at: when the present overload began, None without one.
    :ivar shed_share: share of sheds at the last decision, without errors.
    :ivar calm: whether targets had room at the last decision.
    :ivar failing: whether short answers were errors then, of targets that
        had room.
    """

    def __init__(self, priorities):
        """Admit everything."""
        self.shares = dict.fromkeys(priorities, 1)
        self.began_at = None
        self.shed_share = 0
        self.calm = self.failing = False
        self._signs = 0
        self._room_per_s = 0
        self._errors = ErrorShares()
        self._cuts = None
        self._step_at = float('-inf')
        self._before = self._now = Tally(float('-inf'))

    @property
    def limited(self):
        """Say whether any opening may be refused."""
        return self.began_at is not None

    @property
    def _suspected(self):
        return not self.limited and 0 < self._signs < SIGNS

    def set_priorities(self, priorities):
        """Take over the priorities of a newer configuration."""
        self.shares = {name: self.shares.get(name, 1) for name in priorities}
        self._note_end()

    def note_answer(self, target, priority, shed, answered_at, prompt=None):
        """Count an answer, unless it is older than the last change.

        :param prompt: whether it came as soon as from a target with room;
            None if that is not known.
        """
        if answered_at >= self._now.since:
            self._now.add(target, priority, shed, prompt)
        elif answered_at >= self._before.since:
            self._before.add(target, priority, shed, prompt)

    def note_opening(self, priority):
        """Count an opening, admitted or not."""
        self._now.add_opening(priority)

    def step(self, now, young=False):
        """Change the admitted shares if it is time and there is reason.

        :param young: whether sheds do not count yet.
        :returns: whether they have changed.
        """
        if now < self._step_at:
            return False
        self._step_at = now + STEP_S
        if young:
            self._before = self._now = Tally(now)
            return False
        tally = self._sum()
        span_s = min(WINDOW_S, now - tally.since)
        if tally.answers < LEAST_ANSWERS and span_s < WINDOW_S:
            return False
        before, self.shares = self.shares, self._choose(tally, span_s, now)
        changed = self.shares != before
        if changed:
            self._note_change(now)
        if changed or self._suspected:
            self._before = self._now = Tally(now)
        elif now - self._now.since >= WINDOW_S / 2:
            self._before, self._now = self._now, Tally(now)
        return changed

    def _sum(self):
        if self._before is self._now:
            return self._now
        found = Tally(self._before.since)
        found.merge(self._before)
        found.merge(self._now)
        return found

    def _choose(self, tally, span_s, now):
        short_share = tally.sheds / max(1, tally.answers)
        self.failing = self._is_failing(tally, span_s, now)
        if self.failing:
            self._errors.measure(tally, now)
        self.calm = self.failing or (not self.limited and short_share < HIGH)
        rest = self._errors.take_off(tally, self.failing, now)
        self.shed_share = rest.sheds / max(1, rest.answers)
        low, high = find_bounds(self.shares)
        spread = is_spread(rest.sheds, rest.count_shedding(), len(rest.targets))
        many = self.shed_share > high and rest.sheds >= LEAST_SHEDS
        if many and spread:
            return self._choose_less(rest, span_s)
        self._signs = 0
        if self.shed_share < low:
            self._cuts = None
        room = self._room_per_s * span_s
        busy = tally.served >= BUSY * room
        if self.failing and short_share >= low:
            spare = max(room - rest.answers, ROOM_GROWTH * rest.answers)
            # So many openings are needed for one that does not fail.
            spare *= tally.answers / max(1, rest.answers)
            return raise_shares(self.shares, tally.offered, spare)
        if self.shed_share < low or not spread or not busy:
            spare = 0 if rest.sheds and busy else max(0, room - rest.answers)
            return raise_shares(self.shares, tally.offered, spare)
        return self.shares

    def _is_failing(self, tally, span_s, now):
        """Say whether the short answers are errors of targets with room."""
        if are_late(tally):
            self._cuts = None
            return False
        if not tally.sheds:
            return False
        if self._cuts is not None and self._cuts.shows_room(tally, span_s):
            self._errors.note_shown(now)
            self._room_per_s = self._cuts.served_per_s
            self._cuts = None
        return self._errors.are_shown(now)

    def _choose_less(self, tally, span_s):
        self._signs += 1
        if self._suspected:
            return self.shares
        self._room_per_s = tally.served / span_s
        if self._cuts is None or self._cuts.is_relieved(tally):
            self._cuts = CutSeries(tally, span_s)
        found = cut_shares(self.shares, tally)
        self._cuts.note_cut(self.shares, found)
        return found

    def _note_change(self, now):
        if self.began_at is None:
            self.began_at = now
        self._note_end()

    def _note_end(self):
        if all(share >= 1 for share in self.shares.values()):
            self.began_at = None
