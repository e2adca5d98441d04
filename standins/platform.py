"""Stand-in for the platform: versioned objects, watches, an instance list.

`python -m standins.platform --listen 127.0.0.1:0` serves it over gRPC and
prints its address as one line of JSON.  Faults are switched at run time
through the Control service, or on the state itself when in process.
"""

import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import cyclopts
import grpc

from cornelgap.wire import platform_pb2 as wire
from cornelgap.wire import platform_pb2_grpc as wire_grpc
from standins.platform_state import (
    AnswerLost,
    Forbidden,
    PlatformDown,
    PlatformState,
)

# A waiting watch holds a thread of the synchronous server.
_MAX_THREADS = 256
_STOP_S = 0.2
_MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_OPTIONS = (
    ('grpc.so_reuseport', 0),
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
)


class PlatformServicer(wire_grpc.PlatformServicer):
    """Serve a :class:`PlatformState` over gRPC."""

    def __init__(self, state):
        """Serve the given state."""
        self._state = state

    def Get(self, req, context):
        """Read one object."""
        item = self._call(context, self._state.get, req.name)
        if item is None:
            return wire.GetReply(found=False)
        return wire.GetReply(found=True, object=_encode(req.name, *item))

    def Put(self, req, context):
        """Write conditionally."""
        accepted, current = self._call(
            context,
            self._state.put,
            req.name,
            req.expected_version,
            req.value,
            req.expected_era,
        )
        encoded = None if current is None else _encode(req.name, *current)
        return wire.PutReply(accepted=accepted, current=encoded)

    def Delete(self, req, context):
        """Delete an object of the expected version."""
        accepted = self._call(
            context,
            self._state.delete,
            req.name,
            req.expected_version,
            req.expected_era,
        )
        return wire.DeleteReply(accepted=accepted)

    def List(self, req, context):
        """List objects by prefix."""
        found = self._call(
            context, self._state.list, req.prefix, req.names_only
        )
        return wire.ListReply(objects=[_encode(*item) for item in found])

    def Watch(self, req, context):
        """Stream existing objects, then each change."""
        feed = self._call(context, self._state.open_watch, req.prefix)
        context.add_callback(feed.close)
        for item in feed:
            yield _encode(*item)

    def Register(self, req, context):
        """Put an instance on the list or keep it there."""
        self._call(context, self._state.register, req)
        return wire.RegisterReply()

    def Deregister(self, req, context):
        """Take an instance off the list."""
        self._call(context, self._state.deregister, req)
        return wire.RegisterReply()

    def Instances(self, req, context):
        """List instances as the lagging view shows them."""
        found = self._call(context, self._state.list_instances, req.role)
        return wire.InstancesReply(instances=found)

    def _call(self, context, method, *args):
        time.sleep(self._state.faults.slow_ms / 1000)
        try:
            return method(*args)
        except (PlatformDown, AnswerLost) as exc:
            context.abort(grpc.StatusCode.UNAVAILABLE, str(exc))
        except Forbidden as exc:
            context.abort(grpc.StatusCode.PERMISSION_DENIED, str(exc))
        except ValueError as exc:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))


class ControlServicer(wire_grpc.ControlServicer):
    """Switch faults and read counters."""

    def __init__(self, state):
        """Control the given state."""
        self._state = state

    def SetFaults(self, req, context):
        """Replace all faults."""
        self._state.set_faults(req)
        return wire.FaultsReply()

    def KillWatches(self, req, context):
        """End every open watch."""
        return wire.KillReply(killed=self._state.kill_watches())

    def Counts(self, req, context):
        """Read the counters."""
        return self._state.count_calls()


def _encode(name, version, value, era):
    return wire.Object(name=name, version=version, value=value, store_era=era)


def start_platform(listen='127.0.0.1:0', state=None, credentials=None):
    """Start the stand-in in this process.

    :param listen: ``host:port``; port 0 is chosen by the kernel.
    :param state: state to serve; a new one if None.
    :param credentials: gRPC server credentials; None means no TLS.
    :return: the gRPC server (``stop`` ends it), its port and the state.
    """
    state = state or PlatformState()
    server = grpc.server(ThreadPoolExecutor(_MAX_THREADS), options=_OPTIONS)
    wire_grpc.add_PlatformServicer_to_server(PlatformServicer(state), server)
    wire_grpc.add_ControlServicer_to_server(ControlServicer(state), server)
    if credentials is None:
        port = server.add_insecure_port(listen)
    else:
        port = server.add_secure_port(listen, credentials)
    server.start()
    return server, port, state


def serve(listen: str = '127.0.0.1:0', expiry_s: float = 5):
    """Serve until the process is told to stop.

    :param listen: address to serve at.
    :param expiry_s: an instance drops off the list after this long without
        a heartbeat.
    """
    stopped = threading.Event()

    def stop(*_):
        stopped.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    server, port, state = start_platform(listen, PlatformState(expiry_s))
    host = listen.rpartition(':')[0]
    print(json.dumps({'address': f'{host}:{port}'}), flush=True)
    stopped.wait()
    state.kill_watches()
    server.stop(_STOP_S).wait()


if __name__ == '__main__':
    cyclopts.run(serve)
