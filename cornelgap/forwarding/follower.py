"""The actor that follows the store.

It owns the connection and blocks on it, so it does nothing else.  It lists
all facts once, then watches for changes, and sends the directory what it
received and the time as of which that holds.  After a connection that went
silent, a change history that the store no longer has, or a refusal by the
store, it lists all facts again.

An instance begins to follow because what it knows is old.  Its first call
must not wait for a change, since a watch ends only with changes of targets
and not with one of the configuration.
"""

import logging

from msgspec import Struct

from cornelgap.core.errors import Code
from cornelgap.decisions.backoff import compute_backoff
from cornelgap.forwarding.facts import TargetsChanged, read_clock
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor

RETRY_S = 0.3
"""Pause after a first failed call.  Jitter of up to half of it either way
keeps instances from calling a restarted store all at once."""

LONGEST_RETRY_S = 1.0
"""Upper limit of the pause, which doubles with each failure in a row.  Each
instance that the store refuses for seconds calls it once a second, and the
first call after the store's return comes early enough for a change to take
effect within its time limit."""

COLLECT_S = 0.25
"""Pause after an answer with changes, to collect several changes per call.
While targets are replaced or started, their registrations change many times a
second, and each change would cost each follower a call of its own.  The next
watch is shorter by the pause, so the known facts grow no older than without
it."""

CATCH_UP_S = 0.001
"""Wait of the first watch of an instance that begins to follow."""

LIST_AFTER_S = 10.0
"""Time since the last answer after which such an instance lists all facts
instead, because the store may have dropped the history since then."""

FOLLOWER = 'follower'
_LOG = logging.getLogger('cornelgap.follower')


class Follow(Struct, frozen=True):
    """Message: start or stop following the store."""

    active: bool


class ListOnce(Struct, frozen=True):
    """Message: list all facts, with retries until a list has succeeded."""


class SetWatchWait(Struct, frozen=True):
    """Message: set the longest wait of a watch, from the next watch on."""

    wait_s: float


class _CallSource(Struct, frozen=True):
    """Message of the actor to itself: make the next call to the source."""


class Follower(NamedActor):
    """Lists and watches the facts of one source.

    :param source: has the methods ``list_facts()`` and
        ``watch_facts(wait_s)``, which both return messages for the directory,
        and ``close()``.
    :param receiver: name of the actor that gets these messages.
    :param wait_s: longest wait for a change, in seconds.  Only the answer to
        a watch proves that the connection to the store still works.
    :param pause: function that sleeps for a number of seconds.
    """

    use_daemon_thread = True

    def __init__(self, scope, source, receiver, wait_s, rng, pause):
        """Make no call until :class:`Follow` or :class:`ListOnce` comes."""
        super().__init__(scope, FOLLOWER)
        self._source = source
        self._receiver = receiver
        self._wait_s = wait_s
        self._rng = rng
        self._pause = pause
        self._active = False
        self._list_requested = False
        self._call_queued = False
        self._listed = False
        self._collecting = False
        self._catching_up = False
        self._answered_at = float('-inf')
        self._failures = 0
        self.handlers = {
            SetWatchWait: self._adopt_wait,
            Follow: self._follow,
            ListOnce: self._request_list,
            _CallSource: self._handle_call,
        }

    def release_resources(self):
        """Close the connection."""
        self._source.close()

    def _follow(self, message):
        if self._active and not message.active:
            self._source.close()
        if message.active and not self._active:
            self._catching_up = True
            if read_clock() - self._answered_at >= LIST_AFTER_S:
                self._listed = False
        self._active = message.active
        self._queue_call()

    def _adopt_wait(self, message):
        self._wait_s = message.wait_s

    def _request_list(self, _message):
        self._list_requested = True
        self._queue_call()

    def _queue_call(self):
        if not self._call_queued and (self._active or self._list_requested):
            self._call_queued = True
            self.actor_ref.tell(_CallSource())

    def _handle_call(self, _message):
        self._call_queued = False
        if not self._active and not self._list_requested:
            return
        try:
            self._call()
        except Exception as exc:
            # A malformed answer may raise anything.  It must not end this
            # actor: all instances would get the same answer and end.
            self._record_failure(exc)
            self._pause(compute_pause(self._failures, self._rng))
        self._queue_call()

    def _call(self):
        if self._listed:
            messages = self._watch()
        else:
            messages = self._source.list_facts()
        for message in messages:
            tell_actor(self.scope, self._receiver, message)
        self._answered_at = read_clock()
        self._listed = True
        self._list_requested = False
        self._catching_up = False
        if self._failures:
            self._failures = 0
            _LOG.info('follower: store is back')

    def _watch(self):
        wait_s = self._wait_s
        if self._catching_up:
            wait_s = CATCH_UP_S
        elif self._collecting:
            self._pause(COLLECT_S)
            wait_s -= COLLECT_S
        messages = self._source.watch_facts(wait_s)
        self._collecting = any(has_changes(message) for message in messages)
        return messages

    def _record_failure(self, exc):
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


def has_changes(message):
    """Say whether a message contains changes of targets."""
    return isinstance(message, TargetsChanged) and bool(message.changes)


def compute_pause(failures, rng):
    """Return the pause before the next call, in seconds.

    :param failures: failed calls in a row, at least 1.
    """
    pause_s = compute_backoff(RETRY_S, failures, LONGEST_RETRY_S)
    return pause_s * (0.5 + rng.random())
