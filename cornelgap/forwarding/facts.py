"""Messages about the directory, and the clock that ages are told by."""

import time

from msgspec import Struct

from cornelgap.forwarding.stamps import ConfigStamp, Stamp

WAKE_S = 0.75
"""A turn of an actor that begins so long after the last one means that the
process stood still: its tick is due every quarter of a second.  What lies
in a socket then is old, and ages that it states are no longer true."""


class RoutesKnown(Struct, frozen=True):
    """Message: the configuration as of some moment.

    :param routes: list of routes; None if it is the one already known.
    :param stamp: place in the store's history; None without routes.
    :param as_of: time at which this was the newest, process clock seconds.
    :param warmups: :class:`~cornelgap.forwarding.directory_view.Warmup` by
        service.
    """

    routes: list | None
    stamp: ConfigStamp | None
    as_of: float
    warmups: dict | None = None


class ZonesDrained(Struct, frozen=True):
    """Message: all zones that operators have ordered to be drained.

    :param stamp: place in the store's history as of which these are all.
    """

    zones: frozenset
    stamp: Stamp


class TargetsListed(Struct, frozen=True):
    """Message: all targets as of some moment.

    :param targets: dict name -> (target, revision of its entry).
    :param stamp: place in the store's history as of which these are all.
    """

    targets: dict
    stamp: Stamp
    as_of: float


class TargetsChanged(Struct, frozen=True):
    """Message: what has changed since the last message, perhaps nothing.

    :param changes: tuples (name, target or None, revision of its entry).
    :param stamp: place in the store's history that is known with them.
    """

    changes: tuple
    stamp: Stamp
    as_of: float


def read_clock():
    """Return the process clock in seconds.

    A suspended machine's monotonic clock stands still, and what the
    process knew would look fresh when it wakes; this clock goes on.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
