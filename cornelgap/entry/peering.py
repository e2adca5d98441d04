"""Datagrams between entry instances: relaying, asking, hearing.

The hop to a flow's home is one sealed datagram.  The home answers the
caller directly; to the relaying instance it says "alive" at most a few
times a second, so that hearing costs little however much is relayed.
"""

from cornelgap.core.calls import SendPeer
from cornelgap.core.errors import CodedError
from cornelgap.core.stamps import Stamp
from cornelgap.entry.state import count_event
from cornelgap.wire import peer_pb2 as pb
from cornelgap.wire.peer_codec import sign_peer_datagram, verify_peer_datagram

ALIVE_EVERY_S = 0.2
"""Least time between two ALIVE to one peer; five a second are enough to
notice a death within a second."""

MAX_HOPS = 2
"""A datagram crosses to the home, and once more to its successor."""


def send_peer(state, peer, kind, **fields):
    """Queue a sealed datagram to a peer; it carries our facts along."""
    datagram = pb.PeerDatagram(
        kind=kind,
        sender=state.name,
        boot=state.boot,
        revision=state.cfg.revision,
        era=state.cfg.era,
        leaving=state.leaving,
        api=state.api,
        **fields,
    )
    sealed = sign_peer_datagram(state.cfg.keys, datagram)
    if sealed is not None:
        state.effects.append(SendPeer(peer, sealed))


def relay_datagram(state, now, peer, data, address, hops):
    """Pass a caller's datagram to the instance that is its home."""
    if hops >= MAX_HOPS:
        # Two instances that each take the other for the home would send a
        # packet around for ever; the caller will ask again.
        count_event(state, 'hops_exceeded')
        return
    count_event(state, 'relayed')
    state.membership.record_probe(now, peer)
    send_peer(
        state,
        peer,
        pb.RELAY,
        caller_host=address[0],
        caller_port=address[1],
        hops=hops + 1,
        payload=data,
    )


def open_peer_datagram(state, now, data, source):
    """Check a peer's datagram, note its facts, answer if it asks.

    :returns: the relayed datagram if it is one, else None.
    """
    try:
        peer = verify_peer_datagram(state.cfg.keys, data)
    except CodedError as exc:
        count_event(state, f'peer_refused_{exc.code}')
        return None
    state.membership.record_datagram(
        now,
        peer.sender,
        peer.boot,
        Stamp(peer.era, peer.revision),
        peer.leaving,
        peer.api,
        source,
    )
    if peer.kind != pb.ALIVE:
        _answer_alive(state, now, peer.sender, forced=peer.kind == pb.PING)
    return peer if peer.kind == pb.RELAY else None


def _answer_alive(state, now, peer, forced):
    last = state.alive_sent.get(peer, now - 1)
    if forced or now - last >= ALIVE_EVERY_S:
        state.alive_sent[peer] = now
        send_peer(state, peer, pb.ALIVE)


def send_pings(state, now):
    """Ask the peers of which something should be heard."""
    for peer in state.membership.choose_pings(now):
        send_peer(state, peer, pb.PING)
