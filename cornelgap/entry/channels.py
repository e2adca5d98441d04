"""gRPC channels to targets, one an address.

A request may be started only on a channel that is known to be connected:
then, and only then, a failure to connect can honestly be called "not run".
"""

import asyncio

import grpc
from grpc import aio

from cornelgap.wire.target_pb2_grpc import TargetStub

CONNECT_S = 2.0
"""Longest wait for a connection in seconds."""

READ_AHEAD_BYTES = 65536
"""What one unread answer may hold in this process, in bytes."""

CHANNEL_OPTIONS = (
    # A request written to a connection that then broke may have run.  The
    # library's own second try would run it twice without anybody noticing,
    # so its retries, open and transparent ones, are off.
    ('grpc.enable_retries', 0),
    ('grpc.service_config_disable_resolution', 1),
    # A configured address is met directly, whatever the environment says.
    ('grpc.enable_http_proxy', 0),
    # Each target has its own connection; a shared one would survive the
    # change of a target's address and carry packets to the wrong place.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    # Also the time that one attempt to connect may take.
    ('grpc.min_reconnect_backoff_ms', 1000),
    ('grpc.max_reconnect_backoff_ms', 1000),
    # The library widens its windows to megabytes for a fast sender.  With
    # hundreds of slow callers that fills the memory of a small instance.
    ('grpc.http2.bdp_probe', 0),
    ('grpc.http2.lookahead_bytes', READ_AHEAD_BYTES),
    # A target that is cut off sends nothing more, not even a reset.  A feed
    # only listens, so without a ping its caller would wait for events for
    # ever while its target is long gone.  docs/TARGETS.md asks targets to
    # permit these pings.
    ('grpc.keepalive_time_ms', 10000),
    ('grpc.keepalive_timeout_ms', 5000),
    # The library waits a minute for the answer to a ping unless told here
    # as well; the timeout above alone does not end a connection.
    ('grpc.http2.ping_timeout_ms', 5000),
    ('grpc.http2.max_pings_without_data', 0),
)


class TargetChannel:
    """One channel and the calls on it; lives in the loop's thread."""

    def __init__(self, address, channel):
        """Wrap an open :class:`grpc.aio.Channel`."""
        self.address = address
        self.stub = TargetStub(channel)
        self.calls = 0
        self._channel = channel
        self._connecting = None

    @classmethod
    def from_address(cls, address, credentials=None, options=()):
        """Open a channel to ``host:port``, with TLS if credentials are set."""
        # Of two options of the same name the library takes the first.
        options = list((dict(CHANNEL_OPTIONS) | dict(options)).items())
        if credentials is None:
            return cls(address, aio.insecure_channel(address, options))
        return cls(address, aio.secure_channel(address, credentials, options))

    async def await_ready(self):
        """Wait until the channel is connected.

        :returns: False if it could not be connected soon.
        """
        if self._get_state() is grpc.ChannelConnectivity.READY:
            return True
        if self._connecting is None:
            self._connecting = asyncio.ensure_future(self._connect())
            self._connecting.add_done_callback(self._note_connected)
        # Many calls wait for one attempt; one that is cancelled must not
        # take it away from the others.
        return await asyncio.shield(self._connecting)

    async def close(self):
        """Close the channel and whatever runs on it."""
        if self._connecting is not None:
            self._connecting.cancel()
        await self._channel.close()

    def _get_state(self):
        return self._channel.get_state(try_to_connect=True)

    def _note_connected(self, _fut):
        self._connecting = None

    async def _connect(self):
        try:
            return await asyncio.wait_for(self._follow_state(), CONNECT_S)
        except asyncio.TimeoutError:
            return False

    async def _follow_state(self):
        state = self._get_state()
        while state is not grpc.ChannelConnectivity.READY:
            if state in {
                grpc.ChannelConnectivity.TRANSIENT_FAILURE,
                grpc.ChannelConnectivity.SHUTDOWN,
            }:
                return False
            await self._channel.wait_for_state_change(state)
            state = self._get_state()
        return True
