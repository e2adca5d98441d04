"""A crashed or stuck actor is noticed, logged and counted.

An actor that dies takes no other one with it: the process would go on
answering, with its configuration frozen or its metrics silent, and nobody
would know.  The supervisor hears of each crash, asks the actors now and
then for a sign of life, and lets a policy decide whether the process must
end so that the platform replaces it.
"""

import logging
import time
from collections import Counter

import pykka
from msgspec import Struct

from cornelgap.core.errors import Code
from cornelgap.kernel.names import claim_name, tell_service

SUPERVISOR = 'supervisor'

PROBE_EVERY_S = 1.0
STUCK_S = 10.0
"""Silence after which an actor counts as stuck.  The longest honest turn is
a decoding of the configuration at the design size, well below a second."""

_LOG = logging.getLogger('cornelgap.supervision')


class Crashed(Struct, frozen=True):
    """Message: an actor has ended by an error."""

    name: str
    text: str


class WatchActor(Struct, frozen=True):
    """Message: ask this actor for signs of life.

    :param probe: message that the actor answers at once; it is asked.
    """

    name: str
    ref: object
    probe: object


class ProbeActors(Struct, frozen=True):
    """Message: time to ask all watched actors."""


class CountCrashes(Struct, frozen=True):
    """Message: give the number of crashes by name; asked, not told."""


def report_crash(scope, name, exc):
    """Log a crash and tell the supervisor of the scope, if there is one."""
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
    tell_service(scope, SUPERVISOR, Crashed(name, text))


class _Watched(Struct):
    ref: object
    probe: object
    answer: object = None
    asked_at: float = 0


class Supervisor(pykka.ThreadingActor):
    """Counts crashes and notices actors that answer no more.

    :param on_crash: called in this actor with the name of each actor that
        has crashed or is stuck; it decides what becomes of the process.
    """

    def __init__(self, scope, on_crash, now=time.monotonic):
        """Watch nobody yet."""
        super().__init__()
        claim_name(self, scope, SUPERVISOR)
        self._scope = scope
        self._on_crash = on_crash
        self._now = now
        self._crashes = Counter()
        self._watched = {}

    def on_receive(self, message):
        """Handle one message."""
        if isinstance(message, Crashed):
            self._note_crash(message.name)
        elif isinstance(message, WatchActor):
            watched = _Watched(message.ref, message.probe)
            self._watched[message.name] = watched
        elif isinstance(message, ProbeActors):
            self._probe_actors()
        elif isinstance(message, CountCrashes):
            return dict(self._crashes)
        return None

    def _note_crash(self, name):
        self._watched.pop(name, None)
        self._crashes[name] += 1
        self._on_crash(name)

    def _probe_actors(self):
        now = self._now()
        for name, watched in list(self._watched.items()):
            if watched.answer is not None and not _is_answered(watched):
                if now - watched.asked_at >= STUCK_S:
                    self._report_stuck(name)
                continue
            watched.asked_at = now
            try:
                watched.answer = watched.ref.ask(watched.probe, block=False)
            except pykka.ActorDeadError:
                # It was stopped on purpose; a crash would have been told.
                self._watched.pop(name)

    def _report_stuck(self, name):
        # An error outside a turn, such as in the inbox itself, ends the
        # actor's thread without any report; so does a turn that never ends.
        _LOG.error(
            'supervision: actor answers no more',
            extra={
                'code': str(Code.NET_ACTOR_CRASHED),
                'actor': name,
                'instance': self._scope,
            },
        )
        self._note_crash(name)


def _is_answered(watched):
    try:
        watched.answer.get(timeout=0)
    except pykka.Timeout:
        return False
    except Exception:
        # Any answer, an error too, is a sign of life.
        return True
    return True
