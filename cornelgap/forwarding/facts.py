"""Messages that carry facts for the directory, and the process clock.

Facts are the routes, the targets and the drained zones, as read from the
store.  Their ages are measured by the process clock.
"""

import time

from msgspec import Struct

from cornelgap.forwarding.stamps import ConfigStamp, Stamp

STANDSTILL_S = 0.75
"""Seconds between two turns of an actor after which the process counts as
having stood still, for an actor has a tick every quarter of a second.
Datagrams in the socket are then old, and the ages that they state are no
longer true."""


class RoutesKnown(Struct, frozen=True):
    """Message: the configuration as of a point in time.

    :param routes: list of routes; None if the known one is confirmed.
    :param stamp: position in the store's history; None without routes.
    :param as_of: time at which this was current, process clock seconds.
    :param warmups: :class:`~cornelgap.forwarding.directory_view.Warmup` by
        service.
    """

    routes: list | None
    stamp: ConfigStamp | None
    as_of: float
    warmups: dict | None = None


class ZonesDrained(Struct, frozen=True):
    """Message: all zones that operators have ordered to be drained.

    :param zones: names of these zones.
    :param stamp: position in the store's history as of which the set is
        complete.
    """

    zones: frozenset
    stamp: Stamp


class TargetsListed(Struct, frozen=True):
    """Message: all targets as of a point in time.

    :param targets: dict name -> (target, revision of its entry).
    :param stamp: position in the store's history as of which the list is
        complete.
    :param as_of: as in :class:`RoutesKnown`.
    """

    targets: dict
    stamp: Stamp
    as_of: float


class TargetsChanged(Struct, frozen=True):
    """Message: changes of targets since the previous message, maybe none.

    :param changes: tuples (name, target, revision of its entry); the target
        is None if it was removed.
    :param stamp: position in the store's history that is reached with them.
    :param as_of: as in :class:`RoutesKnown`.
    """

    changes: tuple
    stamp: Stamp
    as_of: float


def read_clock():
    """Return the process clock in seconds.

    It also advances while the machine is suspended.  The monotonic clock
    does not, so old facts would look current after the machine resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
