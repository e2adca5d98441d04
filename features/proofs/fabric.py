"""A fabric that sprays, loses, doubles, delays and reorders datagrams."""

from dataclasses import dataclass, field

CALLER_S = 0.003
"""One way between a caller and an entry instance."""

ZONE_S = 0.0005
LATE_S = 1.3
"""How late a packet is under the fault "late": past a caller's first
repeats and past the time after which a peer is called lost."""

REORDER_S = 0.02
OUTSIDE = 'outside'
"""Where callers are; no cut between zones touches them."""


@dataclass
class Fabric:
    """Links between everything, with rates of faults and cuts.

    :param cuts: (from zone, to zone) pairs that deliver nothing.
    :param hooks: functions that see each packet's step first; each returns
        the name of a fault for this packet, or None.
    """

    loop: object
    rng: object
    loss: float = 0.01
    double: float = 0.01
    reorder: float = 0.02
    cuts: set = field(default_factory=set)
    hooks: list = field(default_factory=list)

    def send(self, step, here, there, base_s, deliver, *args):
        """Send one datagram and have it delivered, or not.

        :param step: name of the protocol step that it belongs to.
        """
        fault = self.ask_hooks(step, args)
        if fault == 'lost' or (here, there) in self.cuts:
            return
        if self.rng.random() < self.loss and fault is None:
            return
        delay = base_s + self.rng.random() * 0.001
        if fault == 'late':
            delay += LATE_S
        if fault == 'reordered' or self.rng.random() < self.reorder:
            delay += REORDER_S * self.rng.random()
        self.loop.at(delay, deliver, *args)
        if fault == 'doubled' or self.rng.random() < self.double:
            again = delay + 0.05 * self.rng.random()
            self.loop.at(again, deliver, *args)

    def ask_hooks(self, step, args):
        """Let the hooks see a step; return a packet's fault if one says."""
        found = [hook(step, args) for hook in list(self.hooks)]
        return next((fault for fault in found if fault), None)

    def is_cut(self, here, there):
        """Say whether a two-way conversation is broken."""
        return (here, there) in self.cuts or (there, here) in self.cuts
