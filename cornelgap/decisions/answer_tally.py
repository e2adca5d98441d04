"""Counts of the answers and openings of one service in a period.

An instance does not read answers.  It counts which of them are short and
quick: these are shed by a full target, or errors.  All others are regular
answers, and it counts how long callers waited for them.
"""

from msgspec import Struct, field


class Tally(Struct):
    """Counts since a point in time.

    Short answers count as sheds, also where they are errors.

    :param since: start of the period, seconds.
    :param answers_by_target: lists [answers, sheds] by target.
    :param answers_by_priority: number of answers by priority.
    :param openings_by_priority: number of openings (first packets of new
        flows) by priority, including refused ones; counted while any may be
        refused.
    :param sheds_by_priority: number of sheds by priority.
    :param waits_by_target: lists [prompt, late] of regular answers by target,
        where the usual wait of a target with room is known.
    """

    since: float
    answers_by_target: dict = field(default_factory=dict)
    answers_by_priority: dict = field(default_factory=dict)
    openings_by_priority: dict = field(default_factory=dict)
    sheds_by_priority: dict = field(default_factory=dict)
    waits_by_target: dict = field(default_factory=dict)

    @property
    def answers(self):
        """Return the number of answers."""
        return sum(self.answers_by_priority.values())

    @property
    def sheds(self):
        """Return the number of sheds."""
        return sum(sheds for _, sheds in self.answers_by_target.values())

    @property
    def served(self):
        """Return the number of regular answers."""
        return self.answers - self.sheds

    def count_served(self, priority):
        """Return the number of regular answers of one priority."""
        return self.answers_by_priority.get(
            priority, 0
        ) - self.sheds_by_priority.get(priority, 0)

    def compute_shed_share(self, priorities):
        """Return the share of sheds among the answers of given priorities."""
        answers = sum(
            self.answers_by_priority.get(priority, 0) for priority in priorities
        )
        sheds = sum(
            self.sheds_by_priority.get(priority, 0) for priority in priorities
        )
        return sheds / max(1, answers)

    def add(self, target, priority, shed, prompt=None):
        """Count one answer.

        :param shed: whether it is short and quick, as of a full target.
        :param prompt: whether it came as soon as from a target with room;
            None if that is not known.
        """
        _add_pair(self.answers_by_target, target, (1, shed))
        _add_number(self.answers_by_priority, priority, 1)
        if shed:
            _add_number(self.sheds_by_priority, priority, 1)
        elif prompt is not None:
            _add_pair(self.waits_by_target, target, (prompt, not prompt))

    def add_opening(self, priority):
        """Count one opening of a priority."""
        _add_number(self.openings_by_priority, priority, 1)

    def merge(self, other):
        """Add the counts of another period."""
        for name in ('answers_by_target', 'waits_by_target'):
            for target, pair in getattr(other, name).items():
                _add_pair(getattr(self, name), target, pair)
        for name in (
            'answers_by_priority',
            'openings_by_priority',
            'sheds_by_priority',
        ):
            for priority, number in getattr(other, name).items():
                _add_number(getattr(self, name), priority, number)

    def count_shedding(self):
        """Return the number of targets with at least one shed."""
        return sum(sheds > 0 for _, sheds in self.answers_by_target.values())

    def count_waits(self):
        """Count the regular answers of the targets with at least one shed.

        :returns: tuple (prompt answers, late answers).
        """
        pairs = [
            self.waits_by_target[target]
            for target, (_, sheds) in self.answers_by_target.items()
            if sheds and target in self.waits_by_target
        ]
        return sum(pair[0] for pair in pairs), sum(pair[1] for pair in pairs)


def _add_pair(pairs, key, added):
    pair = pairs.setdefault(key, [0, 0])
    pair[0] += added[0]
    pair[1] += added[1]


def _add_number(numbers, key, added):
    numbers[key] = numbers.get(key, 0) + added
