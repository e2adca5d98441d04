"""Ask entry instances what they do, and wait until they have a revision."""

import time
from dataclasses import dataclass

import grpc

from cornelgap.cfg.findings import CfgFinding
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.stamps import Stamp
from cornelgap.wire import admin_pb2
from cornelgap.wire.admin_pb2_grpc import AdminStub

_CALL_S = 2
_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """What one entry instance said, or why it said nothing.

    :param name: its name.
    :param zone: its availability zone.
    :param leaving: whether the platform's list has it as leaving.
    :param reply: wire ``StatusReply``, or None.
    :param reason: why there is no reply.
    """

    name: str
    zone: str
    leaving: bool
    reply: object
    reason: str = ''


@dataclass(frozen=True, slots=True)
class InForce:
    """How one entry instance took a revision up.

    :param name: its name.
    :param after_s: seconds until it had the revision; None if it has not.
    :param reason: why it has not.
    """

    name: str
    after_s: float | None
    reason: str = ''


class Fleet:
    """Open channels to the administration API of entry instances."""

    def __init__(self, open_channel, timeout_s=_CALL_S):
        """Start without channels.

        :param open_channel: gives a gRPC channel for an address.
        :param timeout_s: longest wait for one instance.
        """
        self._open_channel = open_channel
        self._timeout_s = timeout_s
        self._channels = {}

    def close(self):
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()

    def ask_status(self, instances):
        """Ask instances for their status, all at the same time.

        :param instances: wire ``Instance`` messages.
        :return: an :class:`InstanceStatus` each.
        """
        calls = [self._start_call(instance) for instance in instances]
        return [
            _finish_call(instance, call)
            for instance, call in zip(instances, calls, strict=True)
        ]

    def ask_drain(self, instance, who):
        """Ask one instance to start its planned stop.

        :param instance: wire ``Instance``.
        :param who: who asks, for the instance's log.
        :raises CodedError: ``OPS_FORBIDDEN`` if this caller may not, or
            ``OPS_NOT_IN_FORCE`` if it does not answer.
        """
        req = admin_pb2.DrainRequest(who=who)
        try:
            self._open_stub(instance).Drain(req, timeout=self._timeout_s)
        except grpc.RpcError as exc:
            code = Code.OPS_NOT_IN_FORCE
            if exc.code() is grpc.StatusCode.PERMISSION_DENIED:
                code = Code.OPS_FORBIDDEN
            raise CodedError(
                code, f'no planned stop: {_phrase_silence(exc)}', instance.name
            ) from exc

    def _open_stub(self, instance):
        address = instance.admin or instance.api
        if address not in self._channels:
            self._channels[address] = self._open_channel(address)
        return AdminStub(self._channels[address])

    def _start_call(self, instance):
        return self._open_stub(instance).Status.future(
            admin_pb2.StatusRequest(), timeout=self._timeout_s
        )


def _phrase_silence(exc):
    return f'no answer ({exc.code().name.lower()})'


def _finish_call(instance, call):
    reply, reason = None, ''
    try:
        reply = call.result()
    except grpc.RpcError as exc:
        reason = _phrase_silence(exc)
    return InstanceStatus(
        instance.name, instance.zone, instance.leaving, reply, reason
    )


def wait_in_force(
    list_instances, fleet, stamp, wait_s, clock=time.monotonic, pause=None
):
    """Wait until every entry instance has a configuration.

    The list is read anew in each round: instances join and leave while the
    change spreads.  Leaving ones are not waited for.

    :param list_instances: gives the wire ``Instance`` messages.
    :param fleet: the :class:`Fleet`.
    :param stamp: place of what is waited for; a later one is as good.
    :param wait_s: how long at most, in seconds.
    :param clock: gives seconds.
    :param pause: waits for a number of seconds.
    :return: an :class:`InForce` for each instance.
    """
    pause = pause or time.sleep
    start = clock()
    done = {}
    instances = []
    while True:
        instances = _list_or_keep(list_instances, instances)
        pending = [
            instance
            for instance in instances
            if instance.name not in done and not instance.leaving
        ]
        statuses = fleet.ask_status(pending)
        passed = clock() - start
        for status in statuses:
            if status.reply and _read_stamp(status.reply) >= stamp:
                done[status.name] = InForce(status.name, passed)
        lacking = [
            _explain_lack(status, stamp)
            for status in statuses
            if status.name not in done
        ]
        if passed >= wait_s or (done and not lacking):
            return sorted([*done.values(), *lacking], key=_get_name)
        pause(_POLL_S)


def _get_name(outcome):
    return outcome.name


def _list_or_keep(list_instances, known):
    """List instances, or keep the last list while the platform is down.

    An empty list in its place would end the wait early, and the operator
    would be told that a change is in force where it is not.
    """
    try:
        return list_instances()
    except CodedError:
        return known


def _read_stamp(reply):
    return Stamp(reply.era, reply.revision)


def _explain_lack(status, stamp):
    reason = status.reason
    if status.reply is not None:
        reason = f'has revision {status.reply.revision}'
        if status.reply.era != stamp.era:
            reason += f' of era {status.reply.era}'
    return InForce(status.name, None, reason)


def require_in_force(outcomes, revision):
    """Raise unless every instance has the revision.

    :raises CodedError: ``OPS_NOT_IN_FORCE``.
    """
    lacking = [item.name for item in outcomes if item.after_s is None]
    if outcomes and not lacking:
        return
    text = f'missing on {", ".join(lacking)}'
    if not outcomes:
        text = 'the platform lists no entry instance'
    raise CodedError(
        Code.OPS_NOT_IN_FORCE, f'revision {revision} is accepted, but {text}'
    )


def find_busy_targets(statuses, names):
    """Find targets that still have flows or requests on some instance.

    Draining takes as long as the work in progress.  Taken out before, the
    target's last requests end without an answer.  An instance that does not
    answer may be cut off and still use them.

    :param statuses: an :class:`InstanceStatus` of each entry instance.
    :param names: names of the targets that are to go.
    :return: findings with ``OPS_UNSAFE_CHANGE``.
    """
    findings = []
    for status in statuses:
        if status.reply is None:
            findings.append(_refuse_removal(status.name, status.reason, names))
            continue
        findings += [
            _refuse_removal(
                status.name,
                f'{item.flows} flows, {item.in_flight} requests',
                [item.target],
            )
            for item in status.reply.targets
            if item.target in names and (item.flows or item.in_flight)
        ]
    return findings


def _refuse_removal(instance, reason, names):
    return CfgFinding(
        Code.OPS_UNSAFE_CHANGE,
        f'instance {instance} may still use it: {reason}',
        section=f'target {" ".join(sorted(names))}',
        expected='a drained target, see: cornelgap status',
    )
