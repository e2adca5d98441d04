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

OTHER_ZONE_LOAD_FACTOR = 1.5
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
    :param same_zone: whether it is in the availability zone of this instance.
    :param cold: whether it has just started.
    """

    target: object
    flows: float
    waiting: float
    same_zone: bool
    cold: bool


class Destination(Struct, frozen=True):
    """A target, or all targets of a zone, to distribute flows over.

    :param load: open and waiting flows per slot.
    :param slots: requests that it serves at once.
    :param item: the candidate, or the destinations of the zone's candidates.
    """

    load: float
    slots: int
    item: object


def compute_load(candidate):
    """Return the load of a target, in flows per slot."""
    slots = max(1, candidate.target.slots)
    load = (candidate.flows + candidate.waiting) / slots
    if candidate.cold:
        # The factor also applies to the flow being placed; otherwise a cold
        # target without flows would score the same as a warm one.
        load = (load + 1 / slots) * COLD_LOAD_FACTOR - 1 / slots
    return load


def choose_target(candidates, expected_flows, rng):
    """Choose the target of a new flow; None if there are no candidates.

    :param candidates: list of :class:`Candidate`.
    :param expected_flows: flows that the zone's instances are expected to open
        before the next report, including the one being placed.
    :param rng: random generator.
    """
    if not candidates:
        return None
    destinations = [_make_destination(item) for item in candidates]
    ordered = sorted(destinations, key=_get_zone)
    zones = [
        _make_zone(list(members))
        for _, members in groupby(ordered, key=_get_zone)
    ]
    zone = draw_destination(zones, expected_flows, rng)
    return draw_destination(zone.item, expected_flows, rng).item.target


def _make_destination(candidate):
    slots = max(1, candidate.target.slots)
    return Destination(compute_load(candidate), slots, candidate)


def _get_zone(destination):
    return destination.item.target.zone


def _make_zone(members):
    slots = sum(member.slots for member in members)
    load = sum(member.load * member.slots for member in members) / slots
    if not members[0].item.same_zone:
        load = load * OTHER_ZONE_LOAD_FACTOR + OTHER_ZONE_FLOWS_PER_SLOT
    return Destination(load, slots, members)


def draw_destination(destinations, expected_flows, rng):
    """Draw one of the destinations, weighted by water-filling.

    :param destinations: at least one :class:`Destination`.
    :param expected_flows: flows to distribute; values below 1 count as 1.
    """
    if len(destinations) == 1:
        return destinations[0]
    ranked = sorted(
        (
            (destination.load, rng.random(), destination)
            for destination in destinations
        ),
        key=lambda entry: entry[:2],
    )
    level = _find_level(ranked, max(expected_flows, 1.0))
    shares = [
        max(0, level - load) * destination.slots
        for load, _, destination in ranked
    ]
    return rng.choices(ranked, shares)[0][2]


def _find_level(ranked, expected_flows):
    """Return the load, in flows per slot, up to which targets are filled.

    :param ranked: tuples of load, tie breaker and destination, by rising load.
    """
    slots = 0
    total_load = 0
    for position, (load, _, destination) in enumerate(ranked):
        slots += destination.slots
        total_load += load * destination.slots
        level = (total_load + expected_flows) / slots
        last = position + 1 == len(ranked)
        if last or level <= ranked[position + 1][0]:
            return level
    raise ValueError('cannot compute a level without candidates')
