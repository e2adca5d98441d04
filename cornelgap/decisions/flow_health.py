"""Detects targets that have stopped answering, from passing client traffic.

Load pattern: a target crashes, or the network to it is cut.  Its
registration expires only after three missed heartbeats.  During these
seconds every new flow that is placed on it, and every request on its
existing flows, is lost until the caller's deadline.  Registrations and
health endpoints lag or mislead.  A caller that retransmits its SYN or data
(a repeat, in this module) is direct evidence that no answer came back.

A single repeat is weak evidence: packets get lost, and work may take longer
than the 0.2 s that a caller waits before it repeats.  A live target confirms
a repeated packet at once, though, so a second repeat (after 0.6 s) is rare.
If several flows repeat, at least one of them for the second time, and no
caller gets an answer, the target is taken to be silent.

A full target accepts no flow and does not confirm the attempt either, but
still serves its open flows.  Repeated openings therefore only keep further
new flows away and never count against open flows.
"""

from msgspec import Struct, field

from cornelgap.decisions.backoff import compute_backoff

MIN_REPEATING_FLOWS = 2
"""Flows that repeat without any answer in between before a target gets no
new flow.  Two packets lost by chance rarely concern the same target."""

AVOID_S = 1.0
"""Time without new flows; the next flow after it is a probe.  The
registration of a crashed target expires within 4 s, so few probes are
lost."""

LONGEST_AVOID_S = 4.0

ANSWER_S = 0.15
"""A repeat counts only if the target has answered no caller for this long.
Callers repeat after 200 ms; a busy target answers several flows in that
time."""

WINDOW_S = 1.0
"""Age up to which a repeat counts.  Older ones have been answered since,
possibly through an instance that has not told this one."""

OPENING_WEIGHT = 0
FIRST_REPEAT_WEIGHT = 1
SECOND_REPEAT_WEIGHT = 2
MIN_SILENT_WEIGHT = 5
MIN_SILENT_S = 0.4
"""Total weight of repeats, and time without any answer, from which on the
flows of a target are given up: one second repeat and first repeats of three
more flows, or three second repeats.  First repeats alone are not enough: a
cold target answers several flows of a zone late at the same time."""

SILENT_HOLD_S = 3.0
"""Time for which a target then counts as silent unless it answers; its
registration expires at about the same time."""

PROBE_S = 0.5
"""Interval at which a silent target still gets one packet, so that an answer
can show that it has recovered."""


class _Record(Struct):
    """Evidence about one target since its last answer.

    :param repeats: tuple (time, weight) of the last repeat by flow.
    :param silent_until: until when the target counts as silent.
    :param probe_at: when the silent target may get its next packet.
    :param repeated_at: time of the last repeat that counted.
    :param answered_at: time of the last answer, as seen by any instance.
    :param shown_at: time of the last answer that this instance saw itself.
    :param avoided_until: until when the target gets no new flow.
    :param avoided: how often in a row it was avoided; sets the backoff.
    """

    repeats: dict = field(default_factory=dict)
    silent_until: float = 0
    probe_at: float = 0
    repeated_at: float = 0
    answered_at: float = 0
    shown_at: float = 0
    avoided_until: float = 0
    avoided: int = 0


class FlowHealth:
    """Tracks repeats and answers per target; keys are any hashable names.

    :ivar min_reporters: number of instances that must see repeats before a
        target counts as silent.  An instance whose own link loses packets
        sees no answer from any target; by itself it would reset all flows.
    """

    def __init__(self):
        """Start with no evidence against any target."""
        self._records = {}
        self.min_reporters = 1

    def note_repeat(
        self, key, flow, now, again=False, away=False, opening=False
    ):
        """Record that a caller repeated a packet to a target.

        :param flow: tuple (instance, name of the caller's flow).
        :param again: whether the same packet had been repeated before.
        :param away: whether the target's whole zone is unreachable.
        :param opening: whether the packet asks for a new flow.
        :returns: whether the repeat counts as evidence against the target.
        """
        record = self._records.setdefault(key, _Record())
        if now - record.answered_at < ANSWER_S:
            return False
        weight = _compute_weight(again, opening)
        record.repeats[flow] = (now, weight)
        record.repeated_at = now
        recent = _prune_repeats(record, now)
        if len(recent) >= MIN_REPEATING_FLOWS and now >= record.avoided_until:
            record.avoided += 1
            record.avoided_until = now + compute_backoff(
                AVOID_S, record.avoided, LONGEST_AVOID_S
            )
        if (
            self._has_enough_evidence(record, recent, away)
            and now - record.answered_at >= MIN_SILENT_S
        ):
            if now >= record.silent_until:
                record.probe_at = now + PROBE_S
            record.silent_until = now + SILENT_HOLD_S
        return True

    def _has_enough_evidence(self, record, recent, away):
        """Return whether recent repeats show that a target is silent.

        An instance has few flows to a single target of another zone, and
        each of them would lose a request when that zone is cut off.  Once
        several targets have shown that the zone is unreachable, one second
        repeat is enough.
        """
        if SECOND_REPEAT_WEIGHT not in recent:
            return False
        if away:
            return True
        instances = {
            instance
            for (instance, _), (_, weight) in record.repeats.items()
            if weight
        }
        return (
            sum(recent) >= MIN_SILENT_WEIGHT
            and len(instances) >= self.min_reporters
        )

    def note_answer(self, key, answered_at, reported=False):
        """Record that a target has answered.

        :param answered_at: time of the answer; lies in the past if the
            caller acknowledged it late.
        :param reported: whether another instance reported the answer.
        """
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = _Record()
        if not reported:
            record.shown_at = max(record.shown_at, answered_at)
        if answered_at <= record.answered_at:
            return
        record.answered_at = answered_at
        if record.repeated_at <= answered_at:
            record.repeats.clear()
            record.avoided = 0
            record.avoided_until = 0
            record.silent_until = 0

    def find_answer(self, key, now):
        """Return the age of a recent answer of a target.

        Only answers that this instance saw itself count.  If instances also
        passed on reported answers, they would keep confirming to each other
        that a target is alive long after its last answer, and none of them
        would give it up.

        :returns: seconds; None without an answer in the last
            :data:`MIN_SILENT_S`.
        """
        record = self._records.get(key)
        if record is None or now - record.shown_at >= MIN_SILENT_S:
            return None
        return now - record.shown_at

    def is_avoided(self, key, now):
        """Return whether a target should get no new flow now."""
        record = self._records.get(key)
        return record is not None and now < record.avoided_until

    def is_silent(self, key, now):
        """Return whether a target counts as silent."""
        record = self._records.get(key)
        return record is not None and now < record.silent_until

    def take_probe(self, key, now):
        """Return whether a silent target may get a probe, and use it up."""
        record = self._records[key]
        if now < record.probe_at:
            return False
        record.probe_at = now + PROBE_S
        return True

    def clear(self):
        """Discard all evidence, for example after a stall of this process."""
        self._records = {}

    def forget(self, key):
        """Discard the evidence about one target."""
        self._records.pop(key, None)

    def keep(self, keys):
        """Discard the evidence about all targets but these."""
        for key in self._records.keys() - keys:
            self._records.pop(key)


def _compute_weight(again, opening):
    if opening:
        return OPENING_WEIGHT
    return SECOND_REPEAT_WEIGHT if again else FIRST_REPEAT_WEIGHT


def _prune_repeats(record, now):
    """Drop expired repeats and return the weights of the others."""
    oldest = now - WINDOW_S
    record.repeats = {
        flow: (at, weight)
        for flow, (at, weight) in record.repeats.items()
        if at >= oldest
    }
    return [weight for _, weight in record.repeats.values()]


def select_pool(pools, fallback):
    """Choose the targets on which a new flow may open.

    If all targets look bad, the fault is more likely in this instance or in
    the callers' network, and refusing every flow would lose them for
    certain.

    :param pools: lists of trusted targets, in order of preference.
    :param fallback: targets to use if all lists are empty.
    """
    for pool in pools:
        if pool:
            return pool
    return fallback
