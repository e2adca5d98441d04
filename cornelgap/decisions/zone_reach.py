"""Whether the targets of an availability zone can be reached from here.

Load pattern: a zone is cut off, by the network or by its own power, and all
its targets fall silent at the same moment.  Judged one by one, each of them
needs the repeats of several flows, and few flows lead from one zone to a
single target of another: callers wait one to two seconds for each target,
and new flows go on opening behind the cut.  Two targets that answer nobody,
while no other target of the zone answers either, say the same at once.

The verdict keeps new flows away and resets nothing by itself: two of a zone's
targets may have crashed while the third had nothing to do.  It takes fewer
repeats then to give up a single target, see ``flow_health``.
"""

from msgspec import Struct, field

SILENT_TARGETS = 2
"""Targets of a zone with a second repeat each.  A live target confirms a
repeated packet at once, so a second repeat means a lost way or target."""

WINDOW_S = 1.0
"""Age up to which a second repeat counts; see ``flow_health``."""

ANSWER_S = 0.4
"""Time without one answer of the whole zone.  A caller repeats twice in
0.6 s; in that time some flow of a zone that is in reach is answered."""

PROBE_S = 1.0
"""Pause between two new flows that may open in the zone all the same, for
all instances of an availability zone together.  Each costs its caller 0.2 s
if the zone is still away; without them nobody would notice that it is back
once all flows have left.  One for each instance would grow with instances
times zones."""


class _Zone(Struct):
    """What flows say of one zone since its last answer.

    :param repeats: tuple (target, instance) to the time of its last second
        repeat.
    :param away_since: when it was found away; None while it is in reach.
    """

    repeats: dict = field(default_factory=dict)
    answered_at: float = float('-inf')
    away_since: float | None = None
    probe_at: float = 0


class ZoneReach:
    """What flows say of each availability zone.

    :ivar witnesses: instances whose flows must speak against a zone.
    :ivar instances: instances of the own zone that take turns at probing.
    :ivar rank: how many of these probe before this one.
    """

    def __init__(self):
        """Take all zones to be in reach."""
        self._zones = {}
        self.witnesses = 1
        self.instances = 1
        self.rank = 0

    def note_repeat(self, zone, target, instance, now):
        """Note that a caller repeated for the second time.

        :param target: name of the target that did not answer.
        :param instance: name of the instance that saw it.
        """
        record = self._zones.setdefault(zone, _Zone())
        record.repeats[target, instance] = now
        record.repeats = {
            key: at
            for key, at in record.repeats.items()
            if now - at <= WINDOW_S
        }
        targets = {silent for silent, _ in record.repeats}
        instances = {witness for _, witness in record.repeats}
        enough = len(targets) >= SILENT_TARGETS
        seen = len(instances) >= self.witnesses
        quiet = now - record.answered_at >= ANSWER_S
        if enough and seen and quiet and record.away_since is None:
            record.away_since = now
            record.probe_at = now + PROBE_S * (1 + self.rank)

    def note_answer(self, zone, answered_at):
        """Note when a target of a zone has answered.

        :param answered_at: time of the answer; the past where a caller told
            of it late, so that later repeats still count.
        :returns: since when the zone was away if it is back now, or None.
        """
        record = self._zones.setdefault(zone, _Zone())
        if answered_at <= record.answered_at:
            return None
        record.answered_at = answered_at
        newest = max(record.repeats.values(), default=float('-inf'))
        if newest > answered_at:
            return None
        record.repeats.clear()
        away_since = record.away_since
        record.away_since = None
        return away_since

    def is_away(self, zone):
        """Say whether a zone is away."""
        record = self._zones.get(zone)
        return record is not None and record.away_since is not None

    def take_probe(self, zone, now):
        """Say whether a new flow may open in a zone that is away."""
        record = self._zones[zone]
        if now < record.probe_at:
            return False
        record.probe_at = now + PROBE_S * self.instances
        return True

    def list_away(self):
        """Return the names of zones that are away, in order."""
        return sorted(zone for zone in self._zones if self.is_away(zone))

    def clear(self):
        """Forget all that was noted, as after a standstill of our own."""
        self._zones = {}
