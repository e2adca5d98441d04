"""What the answers of a service's targets were in some time.

An instance reads no answer.  It counts how many were short, as those of full
targets and errors are, and how long callers waited for the whole ones.
"""

from msgspec import Struct, field


class Tally(Struct):
    """Answers that were seen since some time.

    :param targets: lists [answers, sheds] by target.
    :param priorities: answers by priority.
    :param offered: openings by priority, refused ones too; counted while
        any may be refused.
    :param shorts: sheds by priority.
    :param waits: lists [prompt, late] of whole answers by target, where it
        is known how long they take while the targets have room.
    """

    since: float
    targets: dict = field(default_factory=dict)
    priorities: dict = field(default_factory=dict)
    offered: dict = field(default_factory=dict)
    shorts: dict = field(default_factory=dict)
    waits: dict = field(default_factory=dict)

    @property
    def answers(self):
        """Return the number of answers."""
        return sum(self.priorities.values())

    @property
    def sheds(self):
        """Return the number of sheds among them."""
        return sum(sheds for _, sheds in self.targets.values())

    @property
    def served(self):
        """Return the number of whole answers."""
        return self.answers - self.sheds

    def count_served(self, priority):
        """Return the number of whole answers of one priority."""
        return self.priorities.get(priority, 0) - self.shorts.get(priority, 0)

    def compute_short_share(self, priorities):
        """Return the share of sheds among the answers of some priorities."""
        answers = sum(self.priorities.get(one, 0) for one in priorities)
        shorts = sum(self.shorts.get(one, 0) for one in priorities)
        return shorts / max(1, answers)

    def add(self, target, priority, shed, prompt=None):
        """Count one answer.

        :param shed: whether the target seems to have had no room.
        :param prompt: whether it came as soon as from a target with room;
            None if that is not known.
        """
        _add_pair(self.targets, target, (1, shed))
        _add_number(self.priorities, priority, 1)
        if shed:
            _add_number(self.shorts, priority, 1)
        elif prompt is not None:
            _add_pair(self.waits, target, (prompt, not prompt))

    def add_opening(self, priority):
        """Count one opening."""
        _add_number(self.offered, priority, 1)

    def merge(self, other):
        """Add what was seen in another time."""
        for name in ('targets', 'waits'):
            for target, pair in getattr(other, name).items():
                _add_pair(getattr(self, name), target, pair)
        for name in ('priorities', 'offered', 'shorts'):
            for priority, number in getattr(other, name).items():
                _add_number(getattr(self, name), priority, number)

    def count_shedding(self):
        """Return the number of targets that have shed."""
        return sum(sheds > 0 for _, sheds in self.targets.values())

    def count_waits(self):
        """Count whole answers of those targets that have shed.

        :returns: tuple (prompt ones, late ones).
        """
        found = [
            self.waits[target]
            for target, (_, sheds) in self.targets.items()
            if sheds and target in self.waits
        ]
        return sum(pair[0] for pair in found), sum(pair[1] for pair in found)


def _add_pair(pairs, key, added):
    pair = pairs.setdefault(key, [0, 0])
    pair[0] += added[0]
    pair[1] += added[1]


def _add_number(numbers, key, added):
    numbers[key] = numbers.get(key, 0) + added
