"""Detects availability zones whose targets cannot be reached from here.

Load pattern: a zone is cut off by a network fault, or loses power, and all
its targets fall silent at the same moment.  Judged separately, each target
needs the repeats (retransmissions) of several flows, and an instance has few
flows to a single target of another zone.  Callers would wait one to two
seconds for each target, and new flows would still open in the unreachable
zone.  Two silent targets, while no other target of the zone answers, are
enough to conclude that the whole zone is unreachable ("away").

This only keeps new flows out of the zone and resets none: two of its targets
may have crashed while the third had no traffic.  A single target of the zone
is given up after fewer repeats, though; see ``flow_health``.
"""

from msgspec import Struct, field

SILENT_TARGETS = 2
"""Targets of a zone that must have a second repeat each.  A live target
confirms a repeated packet at once, so after a second repeat either the path
or the target has failed."""

WINDOW_S = 1.0
"""Age up to which a second repeat counts; see ``flow_health``."""

ANSWER_S = 0.4
"""Time without any answer from the whole zone.  A caller repeats twice in
0.6 s; in that time, a reachable zone answers at least one of its flows."""

PROBE_S = 1.0
"""Interval at which one new flow may open in an unreachable zone as a probe,
for all instances of an availability zone together.  A probe costs its caller
0.2 s if the zone is still unreachable.  Without probes, no instance would
notice the recovery once all flows have left the zone.  With a probe of each
instance, their number would grow with instances times zones."""


class _Zone(Struct):
    """Evidence about one zone since its last answer.

    :param repeats: time of the last second repeat by tuple
        (target, instance).
    :param answered_at: time of the last answer of any of its targets.
    :param away_since: when it was found unreachable; None while it is
        reachable.
    :param probe_at: when this instance may open its next probe there.
    """

    repeats: dict = field(default_factory=dict)
    answered_at: float = float('-inf')
    away_since: float | None = None
    probe_at: float = 0


class ZoneReach:
    """Tracks which availability zones are reachable.

    :ivar min_reporters: number of instances that must see repeats before a zone
        counts as unreachable.
    :ivar instances: number of instances of the own zone that take turns to
        probe.
    :ivar rank: how many of these probe before this one.
    """

    def __init__(self):
        """Start with all zones reachable."""
        self._zones = {}
        self.min_reporters = 1
        self.instances = 1
        self.rank = 0

    def note_repeat(self, zone, target, instance, now):
        """Record a caller's second repeat.

        :param target: the target that did not answer.
        :param instance: name of the instance that saw the repeat.
        """
        record = self._zones.setdefault(zone, _Zone())
        record.repeats[target, instance] = now
        record.repeats = {
            key: at
            for key, at in record.repeats.items()
            if now - at <= WINDOW_S
        }
        targets = {silent for silent, _ in record.repeats}
        instances = {reporter for _, reporter in record.repeats}
        enough_targets = len(targets) >= SILENT_TARGETS
        enough_instances = len(instances) >= self.min_reporters
        unanswered = now - record.answered_at >= ANSWER_S
        if (
            enough_targets
            and enough_instances
            and unanswered
            and record.away_since is None
        ):
            record.away_since = now
            record.probe_at = now + PROBE_S * (1 + self.rank)

    def note_answer(self, zone, answered_at):
        """Record that a target of a zone has answered.

        :param answered_at: time of the answer; lies in the past if a caller
            acknowledged it late, and repeats after it still count.
        :returns: since when the zone was unreachable if this answer shows
            that it has recovered, else None.
        """
        record = self._zones.setdefault(zone, _Zone())
        if answered_at <= record.answered_at:
            return None
        record.answered_at = answered_at
        last_repeat_at = max(record.repeats.values(), default=float('-inf'))
        if last_repeat_at > answered_at:
            return None
        record.repeats.clear()
        away_since = record.away_since
        record.away_since = None
        return away_since

    def is_away(self, zone):
        """Return whether a zone is unreachable."""
        record = self._zones.get(zone)
        return record is not None and record.away_since is not None

    def take_probe(self, zone, now):
        """Return whether a flow may open as a probe, and use the turn up."""
        record = self._zones[zone]
        if now < record.probe_at:
            return False
        record.probe_at = now + PROBE_S * self.instances
        return True

    def list_away(self):
        """Return the names of unreachable zones, sorted."""
        return sorted(zone for zone in self._zones if self.is_away(zone))

    def clear(self):
        """Discard all evidence, for example after a stall of this process."""
        self._zones = {}
