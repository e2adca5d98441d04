"""gRPC server for other entry instances.

It holds nothing itself: the configuration comes from the configuration
actor, and flow records go to the packet actor.  Both are asked without
blocking the loop, and within a bounded time, because a peer that waits
without end would never hand its flows to somebody else.
"""

from grpc import aio

from cornelgap.core.stamps import Stamp
from cornelgap.entry.asking import ask_actor
from cornelgap.entry.peer_clients import MAX_MESSAGE_BYTES
from cornelgap.wire import peer_pb2, peer_pb2_grpc

SERVER_OPTIONS = (
    ('grpc.so_reuseport', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
)


class PeerService(peer_pb2_grpc.PeerServicer):
    """What peers may ask.

    :param ask_cfg: takes a set of part digests and the asker's
        :class:`~cornelgap.core.stamps.Stamp`, and returns a pykka future of
        (stamp, trimmed bundle).
    :param take_handover: takes flow records and returns a pykka future of
        the number of flows that are owned here now.
    :param ask_peers: returns a pykka future of the live peers, as
        :class:`cornelgap.core.control.Instance`; None to name nobody.
    """

    def __init__(self, boot, ask_cfg, take_handover, ask_peers=None):
        """Serve for the process with this boot nonce."""
        self._boot = boot
        self._ask_peers = ask_peers
        self._ask_cfg = ask_cfg
        self._take_handover = take_handover

    async def FetchCfg(self, request, context):
        """Give the configuration in force, without known parts."""
        known = frozenset(request.known_parts)
        known_stamp = Stamp(request.known_era, request.known_revision)
        stamp, bundle = await ask_actor(
            context, self._ask_cfg, known, known_stamp
        )
        peers = ()
        if self._ask_peers is not None and not request.known_revision:
            # An instance that starts cold while the platform is down has
            # no list.  Without these names it asks nobody, nobody learns
            # its address, and each flow that it opens is re-homed at once.
            peers = await ask_actor(context, self._ask_peers)
        return peer_pb2.CfgReply(
            revision=stamp.revision,
            era=stamp.era,
            document=bundle,
            peers=[_encode_hint(peer) for peer in peers],
        )

    async def Handover(self, request, context):
        """Take flows of a peer that leaves."""
        taken = await ask_actor(
            context, self._take_handover, list(request.flows)
        )
        return peer_pb2.HandoverReply(boot=self._boot, taken=taken)


def _encode_hint(peer):
    return peer_pb2.PeerHint(
        name=peer.name, zone=peer.zone, address=peer.address, api=peer.api
    )


async def start_peer_server(service, address, credentials=None):
    """Start the server; call it in the loop's thread.

    :param address: ``host:port``, port 0 lets the kernel choose.
    :param credentials: gRPC server credentials, None for no TLS.
    :returns: (server, port).
    """
    server = aio.server(options=SERVER_OPTIONS)
    peer_pb2_grpc.add_PeerServicer_to_server(service, server)
    if credentials is None:
        port = server.add_insecure_port(address)
    else:
        port = server.add_secure_port(address, credentials)
    await server.start()
    return server, port
