"""The actor that follows the store.

It owns the connection and blocks on it, so it does nothing else.  It lists
once, then waits for changes, and tells the directory what it heard and as
of when.  A connection that has gone silent, a history that is gone and a
store that refuses all end in a new list.
"""

import logging

from msgspec import Struct

from cornelgap.core.errors import Code, CodedError
from cornelgap.decisions.backoff import compute_backoff
from cornelgap.forwarding.facts import TargetsChanged
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor

RETRY_S = 0.3
"""Pause after a failed call; with jitter of half of it either way, so that
instances do not come back to a restarted store in one moment."""

LONGEST_RETRY_S = 1.0
"""Bound of the pause, which doubles with each failure in a row.  A store that
turns some machines away for seconds gets a call a second of each, and the
first call after its return comes within the bounds of a change."""

GATHER_S = 0.25
"""Pause after an answer that told changes.  While targets are replaced or
started, their registrations change many times a second, and each change
would be a call of its own for each follower.
The next wait is shorter by the pause, so what is known grows no older than
without it."""

FOLLOWER = 'follower'
_FAILED = (CodedError, AttributeError, LookupError, TypeError, ValueError)
_LOG = logging.getLogger('cornelgap.follower')


class Follow(Struct, frozen=True):
    """Message: begin or stop to follow."""

    active: bool


class ListOnce(Struct, frozen=True):
    """Message: list all facts, as often as it takes to succeed once."""


class AdoptWait(Struct, frozen=True):
    """Message: wait this long for a change from the next watch on, seconds."""

    wait_s: float


class _Turn(Struct, frozen=True):
    """Message to itself: make the next call."""


class Follower(NamedActor):
    """Follows one source.

    :param source: offers ``list_facts()`` and ``watch_facts(wait_s)``, both
        giving messages for the directory one by one, and ``close()``.
    :param receiver: name of the service that is told.
    :param wait_s: longest wait for a change.  An answered wait is the only
        proof that the connection still hears the store.
    :param pause: function that sleeps for some seconds.
    """

    use_daemon_thread = True

    def __init__(self, scope, source, receiver, wait_s, rng, pause):
        """Wait for :class:`Follow`."""
        super().__init__(scope, FOLLOWER)
        self._source = source
        self._receiver = receiver
        self._wait_s = wait_s
        self._rng = rng
        self._pause = pause
        self._active = False
        self._wanted = False
        self._turning = False
        self._listed = False
        self._gathering = False
        self._failures = 0
        self.handlers = {
            AdoptWait: self._adopt_wait,
            Follow: self._follow,
            ListOnce: self._want_list,
            _Turn: self._turn,
        }

    def release_resources(self):
        """Close the connection."""
        self._source.close()

    def _follow(self, message):
        if self._active and not message.active:
            self._source.close()
        self._active = message.active
        self._begin()

    def _adopt_wait(self, message):
        self._wait_s = message.wait_s

    def _want_list(self, _message):
        self._wanted = True
        self._begin()

    def _begin(self):
        if not self._turning and (self._active or self._wanted):
            self._turning = True
            self.actor_ref.tell(_Turn())

    def _turn(self, _message):
        self._turning = False
        if not self._active and not self._wanted:
            return
        try:
            self._call()
        except _FAILED as exc:
            # An answer that is not what it should be must not end the task:
            # all instances would get it, and end together.
            self._note_failure(exc)
            self._pause(compute_pause(self._failures, self._rng))
        self._begin()

    def _call(self):
        if self._listed:
            found = self._watch()
        else:
            found = self._source.list_facts()
        for fact in found:
            tell_actor(self.scope, self._receiver, fact)
        self._listed = True
        self._wanted = False
        if self._failures:
            self._failures = 0
            _LOG.info('follower: store is back')

    def _watch(self):
        wait_s = self._wait_s
        if self._gathering:
            self._pause(GATHER_S)
            wait_s -= GATHER_S
        found = self._source.watch_facts(wait_s)
        self._gathering = any(has_changes(fact) for fact in found)
        return found

    def _note_failure(self, exc):
        self._listed = False
        self._failures += 1
        if self._failures == 1:
            _LOG.warning(
                'follower: store lost',
                extra={
                    'code': str(getattr(exc, 'code', Code.PLT_CORRUPT)),
                    'error': repr(exc),
                },
            )


def has_changes(fact):
    """Say whether a message tells changes of targets."""
    return isinstance(fact, TargetsChanged) and bool(fact.changes)


def compute_pause(failures, rng):
    """Return the pause before the next call, seconds.

    :param failures: failed calls in a row, at least 1.
    """
    pause_s = compute_backoff(RETRY_S, failures, LONGEST_RETRY_S)
    return pause_s * (0.5 + rng.random())
