"""Which target a new forwarded flow opens on.

Load pattern: targets serve two or three requests at once and flows last for
minutes, so a flow that is placed badly makes its target's queue longer for
as long as it lives.  Several instances place flows at the same time, each
with news of the others that is a moment old.  If all of them take the
target that looked idlest, it gets all flows of that moment; if each takes
one at random, the busiest target carries a third more than the mean.

Targets are filled like a vessel with water: the flows that all instances
together will open before the next news are poured over the least loaded
targets, and a flow takes a target with the probability of the share that
was poured there.  With few flows between two news this is "the least
loaded", with many it is "even".
"""

from dataclasses import dataclass

COLD_COST = 1.6
"""A target that has just started works this much slower (the users' sheets:
1.6 times for two seconds)."""

FAR_FACTOR = 1.5
FAR_FLOWS = 2.0
"""A target of another availability zone looks this much more loaded, in
flows a slot.  When a zone is cut off, its callers lose the flows that they
have beyond the cut, and bytes between zones cost; but a zone with few
targets must not queue while others idle."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may take a new flow.

    :param flows: open flows on it that are known here.
    :param waiting: of these, flows that wait for an answer.
    """

    target: object
    flows: float
    waiting: float
    near: bool
    cold: bool


def measure_cost(candidate):
    """Return how loaded a target is, in flows a slot."""
    slots = max(1, candidate.target.slots)
    cost = (candidate.flows + candidate.waiting) / slots
    if candidate.cold:
        # The flow that is being placed counts too, or a cold target without
        # any flow would look as good as a warm one.
        cost = (cost + 1 / slots) * COLD_COST - 1 / slots
    return cost if candidate.near else cost * FAR_FACTOR + FAR_FLOWS


def choose_target(candidates, poured, rng):
    """Choose among candidates, None if there are none.

    :param candidates: list of :class:`Candidate`.
    :param poured: flows that all instances open before the next news; at
        least the one that is being placed.
    :param rng: generator for the choice among equals.
    """
    if not candidates:
        return None
    ranked = sorted(
        ((measure_cost(item), rng.random(), item) for item in candidates),
        key=lambda entry: entry[:2],
    )
    level = _find_level(ranked, max(poured, 1.0))
    shares = [
        max(0, level - cost) * max(1, item.target.slots)
        for cost, _, item in ranked
    ]
    return rng.choices(ranked, shares)[0][2].target


def _find_level(ranked, poured):
    """Return the level, in flows a slot, to which the water rises."""
    slots = 0
    weighed = 0
    for position, (cost, _, item) in enumerate(ranked):
        own = max(1, item.target.slots)
        slots += own
        weighed += cost * own
        level = (weighed + poured) / slots
        last = position + 1 == len(ranked)
        if last or level <= ranked[position + 1][0]:
            return level
    raise ValueError('no candidates')
