"""Supervision: detects, logs and counts crashed and unresponsive actors.

When an actor crashes, the other actors of the process continue.  Without
supervision the process would keep answering packets, but with a frozen
configuration or without metrics, and nobody would notice.  The supervisor
receives a report of each crash, probes the actors periodically, and calls a
function that decides whether the process must end so that the platform
replaces it.
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
STUCK_TIMEOUT_S = 10.0
"""Seconds without an answer to a probe after which an actor counts as stuck.
The longest normal message handling, decoding a configuration of the design
size, takes well below a second."""

_LOG = logging.getLogger('cornelgap.supervision')


class ActorCrashed(Struct, frozen=True):
    """Message: an actor has crashed.

    :param name: name of the actor.
    :param text: type and text of the exception.
    """

    name: str
    text: str


class WatchActor(Struct, frozen=True):
    """Message: probe this actor periodically.

    :param name: name of the actor.
    :param ref: its :class:`pykka.ActorRef`.
    :param probe: message that is sent by ``ask`` and that the actor answers
        immediately.
    """

    name: str
    ref: object
    probe: object


class ProbeActors(Struct, frozen=True):
    """Message: probe all watched actors now."""


class GetCrashCounts(Struct, frozen=True):
    """Message sent by ``ask``: return a dict of crash counts by actor name."""


def report_crash(scope, name, exc):
    """Log a crash and report it to the scope's supervisor, if there is one.

    :param scope: name of the instance.
    :param name: name of the crashed actor.
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

    :param scope: name of the instance.
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
                # The actor was stopped on purpose; a crash would have been
                # reported.
                self._watched.pop(name)

    def _report_stuck(self, name):
        # No crash report exists in two cases: an exception outside message
        # handling, such as in the inbox, ended the actor's thread, or the
        # handling of a message never returns.
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
        # Any answer, even an error, shows that the actor is running.
        return True
    return True
