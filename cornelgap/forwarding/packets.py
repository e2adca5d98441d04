"""A packet of a forwarded flow, and what may be done with it.

The engine sees only these types.  How a packet lies on the wire is known
to the codec that the process was started with.
"""

import enum

from msgspec import Struct

SYN = 1
ACK = 2
FIN = 4
RST = 8


class Packet(Struct):
    """One packet that a caller sent.

    :param source: the caller's IPv4 address as a number.
    :param destination: the route's IPv4 address as a number.
    :param flags: sum of :data:`SYN`, :data:`ACK`, :data:`FIN`, :data:`RST`.
    :param cookie: what the caller last received for this flow; 0 if nothing.
    :param seq: number of the first byte of data.
    :param ack: next byte expected; on a SYN the count of copies sent before.
    :param size: bytes of data.
    :param raw: the packet as it came.
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
    """Why a packet was placed, reset or dropped; a log and metric label."""

    PLACED = 'placed'
    MOVED_ON = 'moved_on'
    KNOWN = 'known'
    NO_ROUTE = 'no_route'
    ROUTES_UNKNOWN = 'routes_unknown'
    ROUTE_DROPPED = 'route_dropped'
    NO_TARGET = 'no_target'
    WITHDRAWN = 'withdrawn'
    COLD_TARGETS = 'cold_targets'
    OVERLOADED = 'overloaded'
    COPY_OVERLOADED = 'copy_overloaded'
    TARGET_SILENT = 'target_silent'
    TARGET_GONE = 'target_gone'
    NOT_FRESH = 'not_fresh'
    STALE_OPEN = 'stale_open'
    UNKNOWN_TARGET = 'unknown_target'
    AMBIGUOUS_COOKIE = 'ambiguous_cookie'
    NO_COOKIE = 'no_cookie'
    FROM_TARGET = 'from_target'


class Forward(Struct, frozen=True):
    """Effect: send the packet to a target.

    :param target: :class:`cornelgap.forwarding.directory_view.Target`.
    """

    target: object
    reason: Reason


class Reset(Struct, frozen=True):
    """Effect: end the flow towards the caller, at once.

    :param seq: sequence number that the caller accepts.
    """

    seq: int
    reason: Reason


class Drop(Struct, frozen=True):
    """Effect: do nothing with the packet."""

    reason: Reason
