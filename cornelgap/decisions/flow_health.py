"""Whether a target answers, judged by the flows that it carries.

Load pattern: a target crashes or is cut off.  Its registration stays for
three heartbeats, seconds in which each new flow that is placed on it is
lost for its caller's whole first try.  Registrations and health endpoints
lag or mislead; a caller that repeats its SYN, or its data, does not: the
target did not answer it.

A single repeat proves little, since packets are lost on the way.  Repeats
of several flows without one answer in between do.
"""

from dataclasses import dataclass

STRIKES = 2
"""Flows that repeat without any answer in between before a target is
avoided.  At 1% loss on each way two of them meet once in 2,500 flows."""

AVOID_S = 1.0
"""Time without new flows after the strikes; then the next flow is a probe.
A crashed target's registration lapses within 4 s, so at most four probes
are lost."""

LONGEST_AVOID_S = 4.0

ANSWER_S = 0.15
"""A repeat counts only if the target has not answered anybody for so long:
callers repeat after 200 ms, a busy target answers several flows in that."""


@dataclass(slots=True)
class _Record:
    strikes: int = 0
    answered_at: float = 0.0
    avoided_until: float = 0.0
    avoided: int = 0


class FlowHealth:
    """What flows say of each target; keys are any hashable names."""

    def __init__(self):
        """Trust everybody."""
        self._records = {}

    def note_repeat(self, key, now):
        """Note that a caller repeated what it had sent to a target."""
        record = self._records.setdefault(key, _Record())
        if now - record.answered_at < ANSWER_S:
            return
        record.strikes += 1
        if record.strikes >= STRIKES and now >= record.avoided_until:
            length = min(AVOID_S * 2**record.avoided, LONGEST_AVOID_S)
            record.avoided_until = now + length
            record.avoided += 1

    def note_answer(self, key, now):
        """Note that an answer of a target has shown."""
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = _Record()
        record.answered_at = now
        if record.strikes or record.avoided:
            record.strikes = 0
            record.avoided = 0
            record.avoided_until = 0.0

    def is_avoided(self, key, now):
        """Say whether a target should get no new flow now."""
        record = self._records.get(key)
        return record is not None and now < record.avoided_until

    def keep(self, keys):
        """Forget all targets but these."""
        for key in self._records.keys() - keys:
            self._records.pop(key)


def select_trusted(targets, is_avoided):
    """Return the targets that are not avoided, or all if that leaves none.

    When all look bad the fault is more likely on our side or the callers'
    network; turning every flow away would be certain loss.
    """
    trusted = [target for target in targets if not is_avoided(target)]
    return trusted or list(targets)
