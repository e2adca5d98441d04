"""The platform's object service, with timeouts and coded errors.

Every call has a deadline: the platform can be slow for long stretches, and
an actor that waits for it without end would stop doing its own work.
"""

from typing import NamedTuple, Protocol

import grpc

from cornelgap.cfg.document import MAX_VALUE_BYTES
from cornelgap.core.errors import Code, CodedError
from cornelgap.wire import platform_pb2 as wire
from cornelgap.wire.platform_pb2_grpc import PlatformStub

_CALL_S = 2
# A watch can die without a sign.  Ending each after this time and opening
# another bounds how long a change can go unheard.
_WATCH_S = 30
_MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# A repeated write of the library's own could be applied twice.
CHANNEL_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 2000),
    ('grpc.use_local_subchannel_pool', 1),
)
_FORBIDDEN = (
    grpc.StatusCode.PERMISSION_DENIED,
    grpc.StatusCode.UNAUTHENTICATED,
)
_REFUSED = (
    grpc.StatusCode.INVALID_ARGUMENT,
    grpc.StatusCode.UNIMPLEMENTED,
)


class Versioned(NamedTuple):
    """A stored value, and what a conditional write must name.

    :param version: number of the object's last change.
    :param era: number from 1 that rises when the store is restored from a
        backup, which reissues versions; 0 if the platform does not say.
    """

    version: int
    value: bytes
    era: int = 0


class Named(NamedTuple):
    """An object of a listing or a watch."""

    name: str
    version: int
    value: bytes
    era: int = 0


class PutResult(NamedTuple):
    """Outcome of a conditional write.

    :param accepted: whether it took effect.
    :param current: the object as it stands, or None if there is none.
    """

    accepted: bool
    current: Versioned | None


class Store(Protocol):
    """What configuration and membership need from the platform.

    Each method raises :class:`CodedError` with ``PLT_DOWN`` when nothing
    was changed, and ``PLT_ANSWER_LOST`` when a write may have taken effect.
    """

    def get(self, name):
        """Get an object as :class:`Versioned`, or None."""

    def put(self, name, expected_version, value, expected_era=0):
        """Write if the version is still the expected one, 0 for absent.

        :param expected_era: era in which the version was read; 0 for any.
        :return: :class:`PutResult`.
        """

    def list(self, prefix, names_only=False):
        """List objects as :class:`Named`, in the order of their names.

        :param names_only: leave the values empty.
        """

    def delete(self, name, expected_version, expected_era=0):
        """Delete an object if its version is still the expected one.

        :param expected_era: era in which the version was read; 0 for any.
        :return: whether it was deleted.
        """

    def watch(self, prefix):
        """Watch objects: first those that exist, then each change.

        :return: an iterable of :class:`Named` with a ``cancel`` method; it
            ends when the watch does, and the caller opens another.
        """


class PlatformStore:
    """The store over gRPC; safe to use from several threads."""

    def __init__(self, channel, timeout_s=_CALL_S, watch_s=_WATCH_S):
        """Use a channel that its owner closes.

        :param channel: gRPC channel to the platform.
        :param timeout_s: longest wait for one answer, in seconds.
        :param watch_s: longest life of one watch, in seconds.
        """
        self._channel = channel
        self._stub = PlatformStub(channel)
        self._timeout_s = timeout_s
        self._watch_s = watch_s

    @classmethod
    def from_address(cls, address, credentials=None, **options):
        """Connect to ``host:port``.

        :param address: the platform's address.
        :param credentials: gRPC channel credentials; None means no TLS.
        :param options: see the constructor.
        """
        if credentials is None:
            channel = grpc.insecure_channel(address, CHANNEL_OPTIONS)
        else:
            channel = grpc.secure_channel(address, credentials, CHANNEL_OPTIONS)
        return cls(channel, **options)

    def close(self):
        """Close the channel; calls in progress fail."""
        self._channel.close()

    def get(self, name):
        """Get an object, see :class:`Store`."""
        reply = self._read(self._stub.Get, wire.GetRequest(name=name))
        if not reply.found:
            return None
        return _decode(reply.object)

    def put(self, name, expected_version, value, expected_era=0):
        """Write conditionally, see :class:`Store`."""
        if len(value) > MAX_VALUE_BYTES:
            raise CodedError(
                Code.PLT_TOO_LARGE, f'{len(value)} bytes', place=name
            )
        req = wire.PutRequest(
            name=name,
            expected_version=expected_version,
            value=value,
            expected_era=expected_era,
        )
        try:
            reply = self._stub.Put(req, timeout=self._timeout_s)
        except grpc.RpcError as exc:
            # A failed call says nothing about whether the write was applied:
            # the request may have gone out before the connection broke.
            # Calling that "down" would let the writer try again, and its
            # change would stand twice in the audit trail.
            raise _convert_error(exc, Code.PLT_ANSWER_LOST, name) from exc
        current = None
        if reply.current.version:
            current = _decode(reply.current)
        return PutResult(reply.accepted, current)

    def delete(self, name, expected_version, expected_era=0):
        """Delete an object, see :class:`Store`."""
        req = wire.DeleteRequest(
            name=name,
            expected_version=expected_version,
            expected_era=expected_era,
        )
        return self._read(self._stub.Delete, req).accepted

    def list(self, prefix, names_only=False):
        """List objects, see :class:`Store`."""
        req = wire.ListRequest(prefix=prefix, names_only=names_only)
        reply = self._read(self._stub.List, req)
        return [_decode_named(item) for item in reply.objects]

    def watch(self, prefix):
        """Watch objects, see :class:`Store`."""
        call = self._stub.Watch(
            wire.WatchRequest(prefix=prefix), timeout=self._watch_s
        )
        return Watch(call)

    def register(self, instance):
        """Put an instance on the platform's list, or keep it there.

        :param instance: a wire ``Instance``; it drops off the list unless
            it is registered again within the platform's expiry.
        """
        self._read(self._stub.Register, instance)

    def deregister(self, instance):
        """Take an instance off the platform's list.

        :param instance: a wire ``Instance``, of which the name counts.
        """
        self._read(self._stub.Deregister, instance)

    def list_instances(self, role=''):
        """List instances; the list lags, so it is a hint.

        :param role: ``entry`` or ``target``; empty for both.
        :return: wire ``Instance`` messages.
        """
        req = wire.InstancesRequest(role=role)
        return list(self._read(self._stub.Instances, req).instances)

    def _read(self, method, req):
        try:
            return method(req, timeout=self._timeout_s)
        except grpc.RpcError as exc:
            raise _convert_error(exc, Code.PLT_DOWN) from exc


class Watch:
    """An open watch; iterating gives :class:`Named` until it ends."""

    def __init__(self, call):
        """Wrap the streaming call."""
        self._call = call

    def __iter__(self):
        """Give objects; an end for whatever reason is no error."""
        try:
            for item in self._call:
                yield _decode_named(item)
        except grpc.RpcError:
            return

    def cancel(self):
        """End the watch, from any thread."""
        self._call.cancel()


def _decode(item):
    return Versioned(item.version, item.value, item.store_era)


def _decode_named(item):
    return Named(item.name, *_decode(item))


def _convert_error(exc, code, place=''):
    if exc.code() in _FORBIDDEN:
        code = Code.OPS_FORBIDDEN
    elif exc.code() in _REFUSED:
        code = Code.PLT_DOWN
    return CodedError(code, f'no answer from the platform: {exc.code()}', place)
