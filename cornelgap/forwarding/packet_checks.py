"""Stateless checks of one packet against what is known of its flow."""

from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.flow_owners import NO_SEQUENCE
from cornelgap.forwarding.handshake_cookies import (
    compute_syn_seq,
    read_handshake_cookie,
)

MIN_REPEAT_DELAY_S = 0.15
"""Least time after a packet was forwarded before a repeat of it counts as
evidence against the target.  Callers repeat after 0.2 s; packets that have
waited in this instance's own socket are read together with their repeats,
and would count against every target."""


def is_from_target(packet):
    """Check whether a SYN has flags that only a target sets.

    Only targets send SYN+ACK, and they send it to callers.  If one were
    forwarded to a target, it would look forged by this instance.
    """
    return bool(packet.flags & (pkt.ACK | pkt.RST | pkt.FIN))


def was_forwarded(known):
    """Check whether a SYN of the flow was forwarded to a target before.

    The target may have opened the flow and run its request, so that a reset,
    which tells the caller that nothing has run, would be wrong.

    :param known: the flow as seen here, or None.
    """
    return known is not None


def is_early_copy(packet, known, now):
    """Check whether a copy of a SYN was read right after the previous one.

    Both have then waited in this instance's own socket, and the target has
    had no time to answer.  Sent to another target, the copy would open the
    flow on both.

    :param known: the flow as seen here, or None.
    """
    if known is None or known.established or not packet.ack:
        return False
    return now - known.seen_at < MIN_REPEAT_DELAY_S


def is_late_copy(packet, opened):
    """Check whether a SYN is a copy of the one that opened a flow.

    The caller has sent it before it got a SYN+ACK.  Forwarded to another
    target, it would open the flow there as well.

    :param opened: the open flow with that key, or its
        :class:`~cornelgap.forwarding.flow_owners.Owner`; None if none is
        known.
    """
    if opened is None:
        return False
    if opened.syn_seq == NO_SEQUENCE:
        return packet.ack > 0
    return opened.syn_seq == packet.seq


def may_have_overtaken(known, now):
    """Check whether a packet may have overtaken the one that opens its flow.

    :param known: the flow as seen here, or None.
    """
    return known is not None and now - known.seen_at < MIN_REPEAT_DELAY_S


def is_repeat(packet, known, now):
    """Check whether a caller repeats its last data for lack of an answer.

    :param known: the flow as seen here.
    """
    if not packet.size or known.next_seq != packet.seq + packet.size:
        return False
    return now - known.sent_at >= MIN_REPEAT_DELAY_S


def choose_cookie(packet, known):
    """Return the cookie of the target on which a packet's flow is open.

    Two targets may answer two copies of a SYN.  The caller then acknowledges
    the first answer, but sends the cookie of the last one, which belongs to
    a target that does not know the flow.  The flow is open on the target to
    which the caller's first acknowledgement was forwarded.

    :param known: the flow as seen here, or None.
    """
    if is_established(known):
        return known.cookie
    return packet.cookie


def is_established(known):
    """Check whether the caller has acknowledged a target's SYN+ACK.

    :param known: the flow as seen here, or None.
    """
    return known is not None and known.established


def is_misleading(packet, known):
    """Check whether a packet's cookie comes from a target without its flow.

    :param known: the flow as seen here, established.
    """
    if packet.cookie == known.cookie:
        return False
    syn_seq = known.syn_seq
    if syn_seq == NO_SEQUENCE:
        syn_seq = compute_syn_seq(packet)
    return read_handshake_cookie(packet, syn_seq) != known.cookie


def is_same_flow(packet, owner):
    """Check whether an owner is that of the flow which a packet has opened.

    Otherwise the owner is that of an earlier flow with the same key.

    :param packet: one that directly follows a SYN.
    :param owner: :class:`~cornelgap.forwarding.flow_owners.Owner`.
    """
    return owner.syn_seq == compute_syn_seq(packet)


def order_services(route, packet):
    """Choose a route's service for a new flow by weight; list it first.

    All copies of one SYN get the same order on every instance, since it
    depends on the flow's addresses alone.  The route's other services follow
    as alternatives: a zone that is cut off may have no target of the chosen
    one.  The operator allows every service of the split for these flows, so
    any service with a reachable target is correct.

    :returns: list of names, the chosen one first.
    """
    names = [service for service, _ in route.weighted_services]
    if len(names) == 1:
        return names
    total = sum(weight for _, weight in route.weighted_services)
    point = hash(packet.flow) % total
    for position, (_, weight) in enumerate(route.weighted_services):
        point -= weight
        if point < 0:
            return names[position:] + names[:position]
    # Rounding of fractional weights has left a rest.
    return names
