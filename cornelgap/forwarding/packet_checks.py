"""What one packet says beside what is known of its flow; without state."""

from cornelgap.forwarding import packets as pkt

REPEAT_S = 0.15
"""Time since the first packet was passed on before its repeat says anything.
Callers repeat after 0.2 s; packets that have waited in our own socket are
read with their repeats at once, and would speak against every target."""


def is_from_target(packet):
    """Say whether a SYN comes from a target, or pretends to.

    Only targets send SYN+ACK, and they send it to callers.  One that
    reached a target would look as if this instance had forged it.
    """
    return bool(packet.flags & (pkt.ACK | pkt.RST | pkt.FIN))


def was_passed_on(known):
    """Say whether a SYN of a flow was sent to a target before.

    The target may have opened the flow and run its request: a reset that
    says "not run" would be false.

    :param known: the flow as seen here, or None.
    """
    return known is not None


def is_early_copy(packet, known, now):
    """Say whether a copy of a SYN was read just after the one before it.

    Both have waited in our own socket.  The target has had no time to
    answer; another one would answer as well, and the flow be open on two.

    :param known: the flow as seen here, or None.
    """
    if known is None or known.pinned or not packet.ack:
        return False
    return now - known.seen_at < REPEAT_S


def is_repeat(packet, known, now):
    """Say whether a caller repeats its last data, as nothing came back.

    :param known: the flow as seen here.
    """
    if not packet.size or known.sent != packet.seq + packet.size:
        return False
    return now - known.sent_at >= REPEAT_S


def choose_cookie(packet, known):
    """Return the cookie of the target that holds a packet's flow.

    Two targets may answer two copies of a SYN.  The caller acknowledges the
    first and carries the cookie of the last, and its data would go to a
    target that does not know the flow; it is open where the first
    acknowledgement went.

    :param known: the flow as seen here, or None.
    """
    if known is not None and known.pinned:
        return known.cookie
    return packet.cookie


def order_services(route, packet):
    """Order a route's services for a new flow, by the route's weights.

    All copies of one SYN get the same order, on any instance: it depends on
    the flow's addresses alone.  The others follow the chosen one because a
    zone that is cut off may have no target of it; the operator allows each
    service of the split for these flows, so one that is in reach is right.

    :returns: list of names, the chosen one first.
    """
    names = [service for service, _ in route.shares]
    if len(names) == 1:
        return names
    total = sum(weight for _, weight in route.shares)
    point = hash(packet.flow) % total
    for position, (_, weight) in enumerate(route.shares):
        point -= weight
        if point < 0:
            return names[position:] + names[:position]
    raise ValueError('a route needs positive weights')
