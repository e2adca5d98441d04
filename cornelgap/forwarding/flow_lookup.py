"""Lookup of the target on which a flow is open.

The sources are, in this order: the record of a flow that this instance has
seen open, the cookie of the packet, the report of another instance, the
handshake cookie of the packet, and the record of a flow that has been idle.
A report on an earlier flow with the same key comes after the handshake cookie.
"""

from cornelgap.forwarding.flow_owners import FlowOwners
from cornelgap.forwarding.handshake_cookies import (
    compute_syn_seq,
    read_handshake_cookie,
)
from cornelgap.forwarding.packet_checks import (
    choose_cookie,
    is_established,
    is_misleading,
    is_same_flow,
)

MAX_ANSWERING_RANK = 4
"""Number of instances of a zone that answer queries for flows that they know
from reports only."""


class FlowLookup:
    """Looks flows up, and exchanges their owners with other instances.

    :param flows: :class:`~cornelgap.forwarding.flows.FlowTable`.
    :ivar owners: :class:`~cornelgap.forwarding.flow_owners.FlowOwners`.
    :ivar rank: how many instances of the zone precede this one.
    """

    def __init__(self, flows):
        """Start without reports."""
        self._flows = flows
        self.owners = FlowOwners()
        self.rank = 0

    def find_cookie(self, packet, known, view, now):
        """Return the cookie of the target on which a packet's flow is open.

        If that target is not known, it is the cookie of the packet.

        :param known: the flow as seen here, or None.
        :param view: :class:`~cornelgap.forwarding.directory_view.View`.
        """
        cookie = choose_cookie(packet, known)
        if is_established(known) or not cookie or view.has_cookie(cookie):
            return cookie
        owner = self.owners.find(packet.flow, now)
        handshake_cookie = read_handshake_cookie(
            packet, compute_syn_seq(packet)
        )
        if view.has_cookie(handshake_cookie):
            if owner is None or not is_same_flow(packet, owner):
                return handshake_cookie
        owner = owner or self._flows.find_idle(packet.flow)
        return cookie if owner is None else owner.cookie

    def find_open(self, key, known, now):
        """Return what is known of an open flow: its record, or its owner.

        :param known: the flow as seen here, or None.
        :returns: object with ``cookie`` and ``syn_seq``, or None.
        """
        if is_established(known):
            return known
        return self.owners.find(key, now)

    def note_opened(self, key, flow, now):
        """Report a flow that has just opened, if another target may answer."""
        if flow.ambiguous:
            self.owners.report(key, flow.cookie, flow.syn_seq, now)

    def note_packet(self, packet, flow, now):
        """Report an open flow whose packet would mislead other instances."""
        if is_misleading(packet, flow):
            self.owners.report(packet.flow, flow.cookie, flow.syn_seq, now)

    def note_reports(self, reports, now):
        """Record the owners of flows that another instance has reported.

        :param reports: as
            :meth:`~cornelgap.forwarding.flow_owners.FlowOwners.take_message`
            returns them.
        """
        for *key, cookie, syn_seq in reports:
            self.owners.learn(tuple(key), cookie, syn_seq, now)

    def answer_queries(self, queries, now):
        """Return reports for the queries of another instance.

        A flow that passes through this instance is always reported.  What
        this one knows from reports is known to others as well, so only the
        first few instances answer with that.

        :param queries: as for :meth:`note_reports`.
        """
        answers = ((key, self._find_answer(tuple(key), now)) for key in queries)
        return [
            [*key, owner.cookie, owner.syn_seq]
            for key, owner in answers
            if owner is not None
        ]

    def _find_answer(self, key, now):
        known = self._flows.find(key)
        if is_established(known) and not known.closed:
            return known
        idle = self._flows.find_idle(key)
        if idle is not None or self.rank >= MAX_ANSWERING_RANK:
            return idle
        return self.owners.find(key, now)
