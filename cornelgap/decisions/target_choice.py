"""Selection of the target for a new forwarded flow.

A target serves two or three requests at once and flows last for minutes, so
a badly placed flow lengthens its target's queue for as long as it lives.
Several instances place flows concurrently, and each knows the flows of the
others only as of their last report.  If every instance picked the target
that looked least loaded, that target would receive all flows opened until
the next report; if each picked at random, the busiest target would carry a
third more than the mean.

The choice is a randomised water-filling: the flows that all instances are
expected to open before the next report are distributed over the targets,
least loaded first, until their loads are level.  A target is then drawn with
a probability proportional to the number of flows assigned to it.  With few
expected flows the result is close to "least loaded", with many it is close
to an even distribution.

The availability zone is drawn first, by the mean load of its targets.
Instances in other zones learn late how many flows a newly added target has
received.  With a single draw over all targets, they would keep sending flows
to it long after it is full.
"""

from itertools import groupby

from msgspec import Struct

COLD_LOAD_FACTOR = 1.6
"""How many times slower a target works just after its start."""

FAR_FACTOR = 1.5
OTHER_ZONE_FLOWS_PER_SLOT = 2.0
"""Factor and surcharge on the load of a target in another zone.

Traffic between zones is billed, and a caller loses its flows into a zone
that is cut off.  The surcharge is bounded so that a zone with few targets
does not queue requests while targets in other zones are idle."""


class Candidate(Struct, frozen=True):
    """A target that may receive the new flow.

    :param target: its record in the directory, with slots and zone.
    :param flows: open flows on it that this instance knows of.
    :param waiting: how many of these flows are waiting for an answer.
    :param near: whether it is in the availability zone of this instance.
    :param cold: whether it has just started.
    """

    target: object
    flows: float
    waiting: float
    near: bool
    cold: bool


class Vessel(Struct, frozen=True):
    """A target, or all targets of a zone, to distribute flows over.

    :param cost: its load, in flows per slot.
    :param slots: requests that it serves at once.
    :param content: the candidate, or the vessels of the zone's candidates.
    """

    cost: float
    slots: int
    content: object


def measure_cost(candidate):
    """Return the load of a target, in flows per slot."""
    slots = max(1, candidate.target.slots)
    load = (candidate.flows + candidate.waiting) / slots
    if candidate.cold:
        # The factor also applies to the flow being placed; otherwise a cold
        # target without flows would score the same as a warm one.
        load = (load + 1 / slots) * COLD_LOAD_FACTOR - 1 / slots
    return load


def choose_target(candidates, poured, rng):
    """Choose the target of a new flow; None if there are no candidates.

    :param candidates: list of :class:`Candidate`.
    :param poured: flows that all instances of the zone are expected to open
        before the next report, including the one being placed.
    :param rng: random generator.
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
    load = sum(member.cost * member.slots for member in members) / slots
    if not members[0].content.near:
        load = load * FAR_FACTOR + OTHER_ZONE_FLOWS_PER_SLOT
    return Vessel(load, slots, members)


def pour(vessels, poured, rng):
    """Draw one of the vessels, weighted by water-filling.

    :param vessels: at least one :class:`Vessel`.
    :param poured: flows to distribute; values below 1 count as 1.
    """
    if len(vessels) == 1:
        return vessels[0]
    ranked = sorted(
        ((vessel.cost, rng.random(), vessel) for vessel in vessels),
        key=lambda entry: entry[:2],
    )
    level = _find_level(ranked, max(poured, 1.0))
    shares = [max(0, level - load) * vessel.slots for load, _, vessel in ranked]
    return rng.choices(ranked, shares)[0][2]


def _find_level(ranked, poured):
    """Return the load, in flows per slot, up to which vessels are filled.

    :param ranked: tuples of load, tie breaker and vessel, by rising load.
    """
    slots = 0
    total_load = 0
    for position, (load, _, vessel) in enumerate(ranked):
        slots += vessel.slots
        total_load += load * vessel.slots
        level = (total_load + poured) / slots
        last = position + 1 == len(ranked)
        if last or level <= ranked[position + 1][0]:
            return level
    raise ValueError('cannot compute a level without candidates')
