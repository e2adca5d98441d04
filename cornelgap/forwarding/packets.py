"""Packets of forwarded flows, and the effects that the engine returns for them.

The engine works with these types only.  The wire format is known only to
the codec that the process was started with.
"""

import enum

from msgspec import Struct

SYN = 1
ACK = 2
FIN = 4
RST = 8

SEQUENCE_MASK = 0xFFFFFFFF
"""TCP sequence numbers have 32 bits and wrap around."""


class Packet(Struct):
    """One decoded packet from a caller.

    :param source: the caller's IPv4 address as an integer.
    :param destination: the route's IPv4 address as an integer.
    :param flags: sum of :data:`SYN`, :data:`ACK`, :data:`FIN`, :data:`RST`.
    :param cookie: identifies the flow's target; the value that the caller
        last received for this flow, 0 if none.
    :param seq: sequence number of the first byte of data.
    :param ack: next sequence number expected; on a SYN, the number of copies
        of it that the caller sent before.
    :param size: bytes of data.
    :param raw: the encoded packet as received.
    """

    source: int
    source_port: int
    destination: int
    destination_port: int
    flags: int
    cookie: int
    seq: int
    ack: int
    size: int
    raw: bytes

    @property
    def flow(self):
        """Return the key of the flow: both ends' addresses and ports."""
        return (
            self.source,
            self.source_port,
            self.destination,
            self.destination_port,
        )


class Reason(enum.StrEnum):
    """Why a packet was forwarded, reset or dropped.

    The values appear in log lines and as labels of the packet counters.
    """

    # A new flow on its first target, or a repeated SYN on another target.
    PLACED = 'placed'
    MOVED_ON = 'moved_on'
    # A packet of an open flow.
    KNOWN = 'known'
    # The route does not exist, no configuration has been loaded yet, or the
    # route was removed from it.
    NO_ROUTE = 'no_route'
    ROUTES_UNKNOWN = 'routes_unknown'
    ROUTE_DROPPED = 'route_dropped'
    # No target accepts the new flow; none is in reach, but another zone can
    # serve it; or cold targets have used up their budget of new flows.
    NO_TARGET = 'no_target'
    WITHDRAWN = 'withdrawn'
    COLD_TARGETS = 'cold_targets'
    # The service is overloaded; a copy of a SYN is dropped instead of reset
    # because another instance may have forwarded the first one.
    OVERLOADED = 'overloaded'
    COPY_OVERLOADED = 'copy_overloaded'
    # The target of an open flow has stopped answering, or has ended.
    TARGET_SILENT = 'target_silent'
    TARGET_GONE = 'target_gone'
    # The directory, or the SYN itself, may be too old for a decision.
    NOT_FRESH = 'not_fresh'
    STALE_OPEN = 'stale_open'
    # The SYN is that of a flow which is open.
    ALREADY_OPEN = 'already_open'
    # The cookie names no known target, or two of them, or is missing.
    UNKNOWN_TARGET = 'unknown_target'
    AMBIGUOUS_COOKIE = 'ambiguous_cookie'
    NO_COOKIE = 'no_cookie'
    # The flags are those of a target's packet, not of a caller's.
    FROM_TARGET = 'from_target'


class Forward(Struct, frozen=True):
    """Effect: send the packet to a target.

    :param target: :class:`cornelgap.forwarding.directory_view.Target`.
    :param cookie: cookie that the packet carries to the target.
    """

    target: object
    reason: Reason
    cookie: int


class Reset(Struct, frozen=True):
    """Effect: send the caller a RST, which ends the flow.

    :param seq: sequence number of the RST, one that the caller accepts.
    """

    seq: int
    reason: Reason


class Drop(Struct, frozen=True):
    """Effect: discard the packet without an answer."""

    reason: Reason
