"""gRPC calls to other entry instances: fetch a configuration, hand over.

Coroutines for the loop's thread; channels are kept by address.
"""

import grpc
from grpc import aio

from cornelgap.entry.handover import HandedOver
from cornelgap.wire import peer_pb2
from cornelgap.wire.peer_pb2_grpc import PeerStub

CALL_S = 2.0
"""Longest wait for a peer's answer in seconds."""

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""A whole bundle at 2,300 services is below one megabyte."""

IDLE_CHANNELS = 16
"""Channels kept at most; the one used longest ago is closed first."""

CHANNEL_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 1000),
    ('grpc.max_reconnect_backoff_ms', 1000),
)


class PeerClients:
    """Channels to peers; lives in the loop's thread."""

    def __init__(self, own, credentials=None, options=()):
        """Hold no channel yet.

        :param own: name of this instance.
        :param credentials: gRPC channel credentials, None for no TLS.
        :param options: channel options that belong to them.
        """
        self._own = own
        self._options = (*CHANNEL_OPTIONS, *options)
        self._credentials = credentials
        self._channels = {}

    async def fetch_cfg(self, api, known, known_parts):
        """Fetch the configuration that a peer has in force.

        :param known: :class:`~cornelgap.core.stamps.Stamp` of the one here.
        :param known_parts: digests of parts that this instance has.
        :returns: the reply, or None if the peer gave none in time.
        """
        req = peer_pb2.CfgRequest(
            known_revision=known.revision,
            sender=self._own,
            known_parts=known_parts,
            known_era=known.era,
        )
        return await self._call(api, 'FetchCfg', req)

    async def hand_over(self, api, boot, records):
        """Give flow records to a successor.

        :param boot: nonce of this process.
        :returns: the reply, or None if it is not known to have arrived.
        """
        req = peer_pb2.HandoverRequest(
            sender=self._own, boot=boot, flows=records
        )
        return await self._call(api, 'Handover', req)

    async def close(self):
        """Close all channels."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()

    async def _call(self, api, method, req):
        stub = PeerStub(await self._get_channel(api))
        try:
            return await getattr(stub, method)(req, timeout=CALL_S)
        except grpc.RpcError:
            return None

    async def _get_channel(self, api):
        channel = self._channels.pop(api, None)
        if channel is None:
            channel = self._open_channel(api)
        self._channels[api] = channel
        if len(self._channels) > IDLE_CHANNELS:
            oldest = next(iter(self._channels))
            # The wait lets calls that are still on it end by themselves.
            await self._channels.pop(oldest).close(CALL_S)
        return channel

    def _open_channel(self, api):
        if self._credentials is None:
            return aio.insecure_channel(api, self._options)
        return aio.secure_channel(api, self._credentials, self._options)


def make_hand_over(loops, clients, boot, find_api, report):
    """Make the function that carries out the engine's handovers.

    :param loops: :class:`cornelgap.kernel.loops.LoopThread`.
    :param boot: nonce of this process.
    :param find_api: gives the ``host:port`` of a peer's gRPC server by its
        name; called in the packet actor's turn.
    :param report: takes a list with one :class:`HandedOver`, in the loop's
        thread; must not block.
    :returns: a function that takes a :class:`HandOver` and never blocks.
    """

    async def carry_out(effect, api):
        reply = await clients.hand_over(api, boot, effect.records)
        # Without a reply the successor may have taken them; the engine
        # sends the same batch again, which is safe.
        if reply is not None:
            taken = reply.taken == len(effect.records)
            report([HandedOver(effect.batch_id, taken)])

    def hand_over(effect):
        api = find_api(effect.peer)
        if api:
            loops.submit(carry_out(effect, api))

    return hand_over
