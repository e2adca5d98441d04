"""Exchange of target loads and request outcomes between instances.

Each instance reports to the first hub of its zone; the hub adds the reports
up and sends the sums to all instances.  The packet actor gets the sums.
"""

from cornelgap.forwarding.neighbours import add_loads, add_outcomes
from cornelgap.forwarding.packet_actor import PeerLoads, ZoneOutcomes


class ReportExchange:
    """Collects loads and outcomes and reports them when they are due.

    :param neighbours: :class:`~cornelgap.forwarding.neighbours.Neighbours`.
    :param tell: function that sends a message to the packet actor.
    :param send_loads: function that sends loads to a list of hosts.
    """

    def __init__(self, neighbours, tell, send_loads):
        """Start without loads and outcomes."""
        self._neighbours = neighbours
        self._tell = tell
        self._send_loads = send_loads
        self._loads_sent_at = float('-inf')
        self._own_loads = {}
        self._last_reported_loads = {}
        self._pending_outcomes = {}

    def note_local_loads(self, message):
        """Store the loads and add up the outcomes of the own packet actor.

        :param message: :class:`~cornelgap.forwarding.packet_actor.LocalLoads`.
        """
        self._own_loads = message.loads
        add_outcomes(self._pending_outcomes, message.outcomes)

    def note_beat_outcomes(self, beat):
        """Handle the outcomes in a beat of another instance.

        Sums of the own zone go to the packet actor; the first hub adds up
        those of single instances.
        """
        if beat.zone_outcomes and beat.zone == self._neighbours.zone:
            self._tell(ZoneOutcomes(beat.zone_outcomes))
        if beat.outcomes and self._neighbours.is_first_hub:
            add_outcomes(self._pending_outcomes, beat.outcomes)

    def sum_zone_loads(self, now):
        """Return the zone's flows by target cookie, for other zones."""
        return self._neighbours.sum_zone_loads(self._own_loads, now)

    def report(self, now):
        """Report loads if they are due, and outcomes if there are any.

        :returns: dict of fields to add to the regular beat.
        """
        beat_fields = {}
        if (
            now - self._loads_sent_at
            >= self._neighbours.compute_load_interval()
        ):
            self._loads_sent_at = now
            self._report_loads(now, beat_fields)
        self._report_outcomes(beat_fields)
        return beat_fields

    def _report_loads(self, now, beat_fields):
        """Tell the packet actor the load of others, and the hub the own one.

        The hub itself puts the sum of both into its beat.
        """
        neighbours = self._neighbours
        other_loads = neighbours.sum_other_loads(self._last_reported_loads, now)
        message = PeerLoads(
            other_loads,
            neighbours.count_zone(),
            neighbours.compute_load_interval(),
            neighbours.compute_rank(),
        )
        self._tell(message)
        if neighbours.is_first_hub:
            total = dict(other_loads)
            add_loads(total, self._own_loads)
            beat_fields['zone_loads'] = total
        else:
            self._last_reported_loads = self._own_loads
            self._send_loads(neighbours.list_load_hosts(), self._own_loads)

    def _report_outcomes(self, beat_fields):
        """Report outcomes to the hub, or as the hub the sums to the zone."""
        outcomes, self._pending_outcomes = self._pending_outcomes, {}
        if not outcomes:
            return
        if self._neighbours.is_first_hub:
            beat_fields['zone_outcomes'] = outcomes
            self._tell(ZoneOutcomes(outcomes))
        else:
            beat_fields['outcomes'] = outcomes
