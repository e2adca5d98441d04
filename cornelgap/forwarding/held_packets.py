"""Packets that wait until the targets of their flows are known.

The packets of a caller's first request may overtake each other, and only the
first one shows where its flow is open.  The target of a flow that another
instance has seen open is known once that instance has answered.
"""

MAX_PACKETS = 256
"""Most packets held at a time; they take about 300 KB."""

MAX_HOLD_S = 0.25
"""Longest time for which a packet is held; its caller repeats it after
0.2 s."""


class HeldPackets:
    """Packets by flow, in the order of their arrival."""

    def __init__(self):
        """Start without packets."""
        self._packets = {}
        self._count = 0

    def __len__(self):
        """Return the number of packets held."""
        return self._count

    def add(self, packet, now):
        """Hold a packet; return whether there is room for it."""
        if self._count >= MAX_PACKETS:
            return False
        self._count += 1
        self._packets.setdefault(packet.flow, []).append((now, packet))
        return True

    def take(self, flow):
        """Return the packets of a flow, and hold them no longer."""
        held = self._packets.pop(flow, ())
        self._count -= len(held)
        return [packet for _, packet in held]

    def take_overdue(self, now):
        """Return the packets of flows that have waited for too long."""
        overdue = [
            flow
            for flow, held in self._packets.items()
            if now - held[0][0] >= MAX_HOLD_S
        ]
        return [packet for flow in overdue for packet in self.take(flow)]
