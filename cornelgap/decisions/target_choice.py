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

The availability zone is chosen first, by the mean load of its targets.  A
target that has just been added is empty, and instances of other zones hear
late of what it has got since: choosing among all targets at once, each of
them would go on sending it flows long after it is full.
"""

from itertools import groupby

from msgspec import Struct

COLD_COST = 1.6
"""A target that has just started works this many times slower."""

FAR_FACTOR = 1.5
FAR_FLOWS = 2.0
"""Another availability zone looks this much more loaded, in flows a slot.
When a zone is cut off, its callers lose the flows that they have beyond the
cut, and bytes between zones cost; but a zone with few targets must not queue
while others idle."""


class Candidate(Struct, frozen=True):
    """A target that may take a new flow.

    :param flows: open flows on it that are known here.
    :param waiting: of these, flows that wait for an answer.
    """

    target: object
    flows: float
    waiting: float
    near: bool
    cold: bool


class Vessel(Struct, frozen=True):
    """What flows are poured into: a target, or all targets of a zone.

    :param cost: how loaded it is, in flows a slot.
    :param slots: requests that it serves at once.
    :param content: a candidate, or the zone's list of vessels.
    """

    cost: float
    slots: int
    content: object


def measure_cost(candidate):
    """Return how loaded a target is, in flows a slot."""
    slots = max(1, candidate.target.slots)
    cost = (candidate.flows + candidate.waiting) / slots
    if candidate.cold:
        # The flow that is being placed counts too, or a cold target without
        # any flow would look as good as a warm one.
        cost = (cost + 1 / slots) * COLD_COST - 1 / slots
    return cost


def choose_target(candidates, poured, rng):
    """Choose among candidates, None if there are none.

    :param candidates: list of :class:`Candidate`.
    :param poured: flows that all instances of the zone open before the next
        news; at least the one that is being placed.
    :param rng: generator for the choice among equals.
    """
    if not candidates:
        return None
    vessels = [_make_vessel(item) for item in candidates]
    ordered = sorted(vessels, key=_get_zone)
    zones = [
        _make_zone(list(members))
        for _, members in groupby(ordered, key=_get_zone)
    ]
    zone = pour(zones, poured, rng)
    return pour(zone.content, poured, rng).content.target


def _make_vessel(candidate):
    slots = max(1, candidate.target.slots)
    return Vessel(measure_cost(candidate), slots, candidate)


def _get_zone(vessel):
    return vessel.content.target.zone


def _make_zone(members):
    slots = sum(member.slots for member in members)
    cost = sum(member.cost * member.slots for member in members) / slots
    if not members[0].content.near:
        cost = cost * FAR_FACTOR + FAR_FLOWS
    return Vessel(cost, slots, members)


def pour(vessels, poured, rng):
    """Draw a vessel by the shares of what is poured over all of them.

    :param vessels: at least one :class:`Vessel`.
    :param poured: flows, at least 1.
    """
    if len(vessels) == 1:
        return vessels[0]
    ranked = sorted(
        ((vessel.cost, rng.random(), vessel) for vessel in vessels),
        key=lambda entry: entry[:2],
    )
    level = _find_level(ranked, max(poured, 1.0))
    shares = [max(0, level - cost) * vessel.slots for cost, _, vessel in ranked]
    return rng.choices(ranked, shares)[0][2]


def _find_level(ranked, poured):
    """Return the level, in flows a slot, to which the water rises."""
    slots = 0
    weighed = 0
    for position, (cost, _, vessel) in enumerate(ranked):
        slots += vessel.slots
        weighed += cost * vessel.slots
        level = (weighed + poured) / slots
        last = position + 1 == len(ranked)
        if last or level <= ranked[position + 1][0]:
            return level
    raise ValueError('no candidates')
