"""Whether a target answers, judged by the flows that it carries.

Load pattern: a target crashes, or the network to it is cut.  Its
registration stays for three heartbeats, seconds in which each new flow that
is placed on it, and each request of the flows that it held, is lost for its
caller's whole deadline.  Registrations and health endpoints lag or mislead;
a caller that repeats its SYN or its data does not: nothing came back.

One repeat proves little: packets are lost on the way, and work may take
longer than a caller waits before it repeats (0.2 s).  But a live target
confirms a repeated packet at once, so a second repeat (after 0.6 s) is rare.
Repeats of several flows, a second one among them, without a single answer
to anybody prove that a target answers nobody.

A target that is full takes no flow and confirms no opening either, while it
serves those that it holds.  So repeated openings keep further ones away, but
never speak against open flows.
"""

from msgspec import Struct, field

from cornelgap.decisions.backoff import compute_backoff

AVOID_FLOWS = 2
"""Flows that repeat without any answer in between before a target gets no
new flow.  Two packets that are lost by chance rarely meet on one target."""

AVOID_S = 1.0
"""Time without new flows; then the next flow is a probe.  A crashed
target's registration lapses within 4 s, so few probes are lost."""

LONGEST_AVOID_S = 4.0

ANSWER_S = 0.15
"""A repeat counts only if the target has not answered anybody for so long:
callers repeat after 200 ms, a busy target answers several flows in that."""

WINDOW_S = 1.0
"""Age up to which a repeat counts.  Older ones were answered since, by way
of an instance that we need not have heard."""

OPENING_WEIGHT = 0
FIRST_WEIGHT = 1
SECOND_WEIGHT = 2
SILENT_WEIGHT = 5
SILENT_S = 0.4
"""Weight of repeats, and time without one answer, before the flows that a
target holds are given up: one second repeat and first ones of three more
flows, or three second ones.  First repeats alone prove nothing: a cold
target answers several flows of a zone late at the same time."""

SILENT_HOLD_S = 3.0
"""Time for which a target then counts as silent unless it answers; its
registration lapses about then."""

PROBE_S = 0.5
"""Pause between two packets that a silent target gets all the same, so
that its answer can show that it is back."""


class _Record(Struct):
    """What flows say of one target since its last answer.

    :param repeats: tuple (time, weight) of the last repeat by flow.
    :param shown_at: when flows of this instance showed the last answer.
    :param answered_at: the same by flows of any instance.
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
    """What flows say of each target; keys are any hashable names.

    :ivar witnesses: instances whose flows must speak against a target.  An
        instance whose own link loses packets sees all targets silent, and
        would reset the flows of each.
    """

    def __init__(self):
        """Trust everybody."""
        self._records = {}
        self.witnesses = 1

    def note_repeat(
        self, key, flow, now, again=False, away=False, opening=False
    ):
        """Note that a caller repeated what it had sent to a target.

        :param flow: tuple (instance, name of the caller's flow).
        :param again: whether it had repeated the same before.
        :param away: whether the target's whole zone is out of reach.
        :param opening: whether it asks for a flow that is not open yet.
        :returns: whether it speaks against the target.
        """
        record = self._records.setdefault(key, _Record())
        if now - record.answered_at < ANSWER_S:
            return False
        weight = _weigh(again, opening)
        record.repeats[flow] = (now, weight)
        record.repeated_at = now
        recent = _list_recent(record, now)
        if len(recent) >= AVOID_FLOWS and now >= record.avoided_until:
            record.avoided += 1
            record.avoided_until = now + compute_backoff(
                AVOID_S, record.avoided, LONGEST_AVOID_S
            )
        if (
            self._is_enough(record, recent, away)
            and now - record.answered_at >= SILENT_S
        ):
            if now >= record.silent_until:
                record.probe_at = now + PROBE_S
            record.silent_until = now + SILENT_HOLD_S
        return True

    def _is_enough(self, record, recent, away):
        """Say whether repeats give a target up.

        Few flows lead to a single target of another zone, and each of them
        would lose a request when that zone is cut off.  Where several of its
        targets have proved the zone away, one second repeat is enough.
        """
        if SECOND_WEIGHT not in recent:
            return False
        if away:
            return True
        instances = {
            name for (name, _), (_, weight) in record.repeats.items() if weight
        }
        return sum(recent) >= SILENT_WEIGHT and len(instances) >= self.witnesses

    def note_answer(self, key, answered_at, told=False):
        """Note that an answer of a target has shown.

        :param answered_at: time since which the target has answered, as far
            as it is known; the past where a caller told of it late.
        :param told: whether another instance's flows have shown it.
        """
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = _Record()
        if not told:
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
        """Return the age of an answer that shows a target to be alive.

        Only what flows of this instance have shown counts.  If each passed
        on what it was told, instances would go on telling each other that a
        target is alive after its last answer, and none would give it up.

        :returns: seconds; None if there is none.
        """
        record = self._records.get(key)
        if record is None or now - record.shown_at >= SILENT_S:
            return None
        return now - record.shown_at

    def is_avoided(self, key, now):
        """Say whether a target should get no new flow now."""
        record = self._records.get(key)
        return record is not None and now < record.avoided_until

    def is_silent(self, key, now):
        """Say whether a target answers nobody any more."""
        record = self._records.get(key)
        return record is not None and now < record.silent_until

    def take_probe(self, key, now):
        """Say whether a silent target may get a packet now; that counts."""
        record = self._records[key]
        if now < record.probe_at:
            return False
        record.probe_at = now + PROBE_S
        return True

    def clear(self):
        """Forget all that was noted, as after a standstill of our own."""
        self._records = {}

    def forget(self, key):
        """Forget what was noted of one target."""
        self._records.pop(key, None)

    def keep(self, keys):
        """Forget all targets but these."""
        for key in self._records.keys() - keys:
            self._records.pop(key)


def _weigh(again, opening):
    if opening:
        return OPENING_WEIGHT
    return SECOND_WEIGHT if again else FIRST_WEIGHT


def _list_recent(record, now):
    """Return the weights of repeats that still count, and drop the others."""
    oldest = now - WINDOW_S
    record.repeats = {
        flow: (at, weight)
        for flow, (at, weight) in record.repeats.items()
        if at >= oldest
    }
    return [weight for _, weight in record.repeats.values()]


def select_pool(pools, everybody):
    """Choose the targets that a new flow may open on.

    When all look bad the fault is more likely on our side or the callers'
    network; turning every flow away would be certain loss.

    :param pools: lists of targets that are trusted, the best list first.
    :param everybody: targets to take if all lists are empty.
    """
    for pool in pools:
        if pool:
            return pool
    return everybody
