"""Data classes of the control plane of an entry instance.

The control plane is everything besides callers' packets: which
configuration is in force, which entry instances exist, and planned stops.
"""

from dataclasses import dataclass

from cornelgap.core.stamps import Stamp


@dataclass(frozen=True, slots=True)
class Instance:
    """One entry instance as the platform lists it.

    The list may be stale, so it is only a hint where an instance may be
    found, not proof that it runs or has stopped.

    :param name: unique name.
    :param zone: availability zone.
    :param address: ``host:port`` of its UDP socket for peers.
    :param api: ``host:port`` of its gRPC server for peers.
    :param leaving: whether it has begun a planned stop.
    :param admin: ``host:port`` of its administration API.
    """

    name: str
    zone: str
    address: str
    api: str = ''
    leaving: bool = False
    admin: str = ''


@dataclass(frozen=True, slots=True)
class PeerRevision:
    """The configuration that a peer says it has.

    :param name: name of the peer.
    :param api: ``host:port`` of the peer's gRPC server, empty if unknown.
    :param stamp: :class:`~cornelgap.core.stamps.Stamp` of its configuration.
    """

    name: str
    api: str
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class ControlView:
    """State of the packet actor that the control actors read.

    :param stamp: stamp of the configuration in force.
    :param newer_peers: :class:`PeerRevision` of each peer that says it has a
        later configuration.
    :param outdated_cfg_hints: number of packets so far that suggest that the
        configuration in force is outdated: their token comes from a later
        configuration, or names a key that is not known here.
    :param has_unknown_addresses: whether a datagram could not be sent to a peer
        because its address is not known.
    :param live: each live :class:`Instance` except this one; None if they
        were not listed this time.
    """

    stamp: Stamp
    newer_peers: tuple = ()
    outdated_cfg_hints: int = 0
    has_unknown_addresses: bool = False
    live: tuple | None = None
