"""Supervision: detects, logs and counts crashed and unresponsive actors.

When an actor crashes, the other actors of the process continue.  Without
supervision the process would keep answering packets, but without metrics or
with a configuration that is never updated again, and nobody would notice.
The supervisor receives a report of each crash, and probes the watched actors
whenever it receives :class:`ProbeActors`.  For each crashed or stuck actor it
calls a function that decides whether the process must end so that the
platform replaces it.

A scope is the name of an instance; an actor's name is unique within it.  A
process normally runs one instance with one supervisor; in tests it may run
several, see :mod:`cornelgap.kernel.names`.  Log lines state the scope as
``instance``.
"""

import logging
import time
from collections import Counter

import pykka
from msgspec import Struct

from cornelgap.core.errors import Code
from cornelgap.kernel.names import set_actor_name, tell_actor

SUPERVISOR = 'supervisor'

PROBE_INTERVAL_S = 1.0
"""Seconds between two :class:`ProbeActors`.  The supervisor has no timer:
:mod:`cornelgap.entry.operations` sends them.  Nothing sends them in
:mod:`cornelgap.platform.node`; only reported crashes are noticed there."""

STUCK_TIMEOUT_S = 10.0
"""Seconds without an answer to a probe after which an actor counts as stuck.
The longest normal message handling takes well below a second: the decoding
of a configuration of the size that CONTRIBUTING.md states under "The size to
design for"."""

_LOG = logging.getLogger('cornelgap.supervision')


class ActorCrashed(Struct, frozen=True):
    """Message: an actor has crashed.

    :param name: name of the actor.
    :param text: type and text of the exception.
    """

    name: str
    text: str


class WatchActor(Struct, frozen=True):
    """Message: from now on, probe this actor at each :class:`ProbeActors`.

    :param name: name of the actor.
    :param ref: its :class:`pykka.ActorRef`.
    :param probe: message that is sent by ``ask`` and that the actor answers
        immediately.
    """

    name: str
    ref: object
    probe: object


class ProbeActors(Struct, frozen=True):
    """Message: probe all watched actors now.

    An actor whose last probe is unanswered gets no further probe; it is
    checked for being stuck instead.
    """


class GetCrashCounts(Struct, frozen=True):
    """Message sent by ``ask``: return a dict of crash counts by actor name.

    Actors found to be stuck are counted too.
    """


def report_crash(scope, name, exc):
    """Log a crash and report it to the scope's supervisor, if there is one.

    The log line has the code ``NET_ACTOR_CRASHED``.  Despite its prefix, it
    has nothing to do with the network: ``NET`` codes also cover faults
    inside one instance, see :class:`cornelgap.core.errors.Code`.

    :param scope: name of the instance that the actor belongs to.
    :param name: name of the crashed actor; ``node`` for work that a thread
        of :mod:`cornelgap.platform.node` does outside any actor.
    :param exc: exception that ended it.
    """
    text = f'{type(exc).__name__}: {exc}'
    _LOG.error(
        'supervision: actor crashed',
        extra={
            'code': str(Code.NET_ACTOR_CRASHED),
            'actor': name,
            'instance': scope,
            'error': text,
        },
        exc_info=exc,
    )
    tell_actor(scope, SUPERVISOR, ActorCrashed(name, text))


class _WatchedActor(Struct):
    """A watched actor and its last probe.

    :param answer: pykka future of the answer; None before the first probe.
    :param probed_at: time at which the last probe was sent.
    """

    ref: object
    probe: object
    answer: object = None
    probed_at: float = 0


class Supervisor(pykka.ThreadingActor):
    """Counts crashes and detects actors that no longer answer.

    A stuck actor is handled like a crashed one: it is logged with the same
    code, counted, passed to ``on_crash``, and not probed again.

    :param scope: name of the instance whose actors it supervises.
    :param on_crash: function called in the supervisor's thread with the name
        of each crashed or stuck actor; decides whether the process must end.
    :param now: function that returns the time in seconds.
    """

    def __init__(self, scope, on_crash, now=time.monotonic):
        """Start without any watched actor."""
        super().__init__()
        set_actor_name(self, scope, SUPERVISOR)
        self._scope = scope
        self._on_crash = on_crash
        self._now = now
        self._crashes = Counter()
        self._watched = {}

    def on_receive(self, message):
        """Handle one message."""
        if isinstance(message, ActorCrashed):
            self._record_crash(message.name)
        elif isinstance(message, WatchActor):
            watched = _WatchedActor(message.ref, message.probe)
            self._watched[message.name] = watched
        elif isinstance(message, ProbeActors):
            self._probe_actors()
        elif isinstance(message, GetCrashCounts):
            return dict(self._crashes)
        return None

    def _record_crash(self, name):
        self._watched.pop(name, None)
        self._crashes[name] += 1
        self._on_crash(name)

    def _probe_actors(self):
        now = self._now()
        for name, watched in list(self._watched.items()):
            if watched.answer is not None and not _has_answered(watched):
                if now - watched.probed_at >= STUCK_TIMEOUT_S:
                    self._report_stuck(name)
                continue
            watched.probed_at = now
            try:
                watched.answer = watched.ref.ask(watched.probe, block=False)
            except pykka.ActorDeadError:
                # The actor has ended.  If it crashed, it has called
                # report_crash itself (see kernel.named_actor), and the crash
                # is counted when the message ActorCrashed is handled.
                # Otherwise it was stopped on purpose.
                self._watched.pop(name)

    def _report_stuck(self, name):
        # The actor has not called report_crash, for one of two reasons: the
        # handling of a message does not return, or an exception outside
        # on_receive, such as in the inbox, ended the actor's thread.  In the
        # second case pykka calls no hook and takes the actor to be alive.
        _LOG.error(
            'supervision: actor does not respond',
            extra={
                'code': str(Code.NET_ACTOR_CRASHED),
                'actor': name,
                'instance': self._scope,
            },
        )
        self._record_crash(name)


def _has_answered(watched):
    try:
        watched.answer.get(timeout=0)
    except pykka.Timeout:
        return False
    except Exception:
        # Any answer, even an error, shows that the actor is not stuck.  If
        # it has ended, the next probe raises ActorDeadError.
        return True
    return True
