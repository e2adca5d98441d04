"""What instances report of the flows on targets, and how requests ended.

Each instance tells the first hub of its zone; the hub sums up and tells
everybody.  The packet actor hears of the sums.
"""

from cornelgap.forwarding.neighbours import add_loads, add_outcomes
from cornelgap.forwarding.packet_actor import OthersLoad, ZoneOutcomes


class Reports:
    """Loads and outcomes, on their way between instances.

    :param neighbours: :class:`~cornelgap.forwarding.neighbours.Neighbours`.
    :param tell: function that tells the packet actor a message.
    :param send_loads: function that sends own loads to some hosts.
    """

    def __init__(self, neighbours, tell, send_loads):
        """Know of no flow yet."""
        self._neighbours = neighbours
        self._tell = tell
        self._send_loads = send_loads
        self._load_at = float('-inf')
        self._loads = {}
        self._reported = {}
        self._outcomes = {}

    def take_own(self, message):
        """Take :class:`~cornelgap.forwarding.packet_actor.LoadSeen`."""
        self._loads = message.loads
        add_outcomes(self._outcomes, message.outcomes)

    def take_told(self, beat):
        """Take the outcomes that another instance has told."""
        if beat.zone_outcomes and beat.zone == self._neighbours.zone:
            self._tell(ZoneOutcomes(beat.zone_outcomes))
        if beat.outcomes and self._neighbours.is_first_hub:
            add_outcomes(self._outcomes, beat.outcomes)

    def sum_zone_loads(self, now):
        """Return flows by cookie of the whole zone, for other zones."""
        return self._neighbours.sum_zone_loads(self._loads, now)

    def report(self, now):
        """Report what is due.

        :returns: dict of further fields of the regular beat.
        """
        parts = {}
        if now - self._load_at >= self._neighbours.choose_load_pause():
            self._load_at = now
            self._report_load(now, parts)
        self._report_outcomes(parts)
        return parts

    def _report_load(self, now, parts):
        """Tell the packet actor of others' load, and the hub of our own."""
        neighbours = self._neighbours
        others = neighbours.sum_others(self._reported, now)
        news = OthersLoad(
            others,
            neighbours.count_zone(),
            neighbours.choose_load_pause(),
            neighbours.compute_rank(),
        )
        self._tell(news)
        if neighbours.is_first_hub:
            total = dict(others)
            add_loads(total, self._loads)
            parts['zone_loads'] = total
        else:
            self._reported = self._loads
            self._send_loads(neighbours.list_load_hosts(), self._loads)

    def _report_outcomes(self, parts):
        """Tell the hub how requests ended, or as the hub all of the zone."""
        outcomes, self._outcomes = self._outcomes, {}
        if not outcomes:
            return
        if self._neighbours.is_first_hub:
            parts['zone_outcomes'] = outcomes
            self._tell(ZoneOutcomes(outcomes))
        else:
            parts['outcomes'] = outcomes
