"""The task that keeps this instance on the platform's list and reads it.

The list is a hint that lags; what comes of it is only whom to ask.
"""

import logging
import random
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from cornelgap.core.control import Instance
from cornelgap.core.errors import CodedError
from cornelgap.decisions.polling import (
    LIST_BYTES_PER_S,
    LIST_INTERVAL_S,
    REGISTER_INTERVAL_S,
    Poll,
)
from cornelgap.entry.packets import InstancesListed
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_if_alive
from cornelgap.wire import platform_pb2

INSTANCES = 'instances'
ENTRY_ROLE = 'entry'
TARGET_ROLE = 'target'
TICK_S = 0.2

_LOG = logging.getLogger('cornelgap.instances')


@dataclass(frozen=True, slots=True)
class LookAround:
    """Message: time to see what is due."""


@dataclass(frozen=True, slots=True)
class ListSoon:
    """Message: a peer of which only the name is known is needed."""


@dataclass(frozen=True, slots=True)
class AnnounceLeaving:
    """Message: this instance has begun a planned stop."""


@dataclass(frozen=True, slots=True)
class _CallEnded:
    poll: str
    answer: object


class InstancesActor(NamedActor):
    """Registers this instance and reads the lists, one call at a time.

    :param own: :class:`cornelgap.core.control.Instance` of this process.
    :param store: :class:`cornelgap.cfg.store.PlatformStore`.
    :param packet: reference to the packet actor.
    :param register_s: seconds between two registrations; a third of the
        time after which the platform takes a silent instance off its list.
    """

    def __init__(
        self, scope, own, store, packet, loops, register_s=REGISTER_INTERVAL_S
    ):
        """Prepare; nothing is asked before the first tick."""
        super().__init__(scope, INSTANCES)
        self._own = own
        self._store = store
        self._packet = packet
        self._loops = loops
        self._leaving = False
        self._entries = None
        self._leaving_targets = frozenset()
        self._stop_tick = None
        self._caller = ThreadPoolExecutor(1, thread_name_prefix=INSTANCES)
        rng = random.Random(own.name)
        self._polls = {
            'register': Poll(rng, register_s),
            ENTRY_ROLE: Poll(rng, LIST_INTERVAL_S, LIST_BYTES_PER_S),
            TARGET_ROLE: Poll(rng, LIST_INTERVAL_S, LIST_BYTES_PER_S),
        }
        self.handlers = {
            LookAround: self._look_around,
            ListSoon: self._hasten_list,
            AnnounceLeaving: self._announce_leaving,
            _CallEnded: self._note_call,
        }

    def acquire_resources(self):
        """Register and read at once."""
        ref = self.actor_ref
        self._stop_tick = self._loops.call_every(
            TICK_S, lambda: tell_if_alive(ref, LookAround())
        )

    def release_resources(self):
        """Take this instance off the list, if the platform is there."""
        self._stop_tick()
        self._caller.submit(_make_call, self._store.deregister, self._encode())
        self._caller.shutdown(wait=True)

    def _look_around(self, _message):
        now = time.monotonic()
        for name, poll in self._polls.items():
            if poll.start_if_due(now):
                self._start_call(name)

    def _start_call(self, name):
        func = self._store.list_instances
        arg = name
        if name == 'register':
            func = self._store.register
            arg = self._encode()
        ref = self.actor_ref

        def call():
            tell_if_alive(ref, _CallEnded(name, _make_call(func, arg)))

        self._caller.submit(call)

    def _note_call(self, message):
        now = time.monotonic()
        poll = self._polls[message.poll]
        answer = message.answer
        if answer is None:
            poll.record_failure(now)
            return
        if message.poll == 'register':
            poll.record_success(now)
            return
        poll.record_success(now, sum(item.ByteSize() + 2 for item in answer))
        if message.poll == ENTRY_ROLE:
            self._entries = [_decode(item) for item in answer]
        else:
            self._leaving_targets = frozenset(
                item.name for item in answer if item.leaving
            )
        if self._entries is not None:
            tell_if_alive(
                self._packet,
                InstancesListed(self._entries, self._leaving_targets),
            )

    def _hasten_list(self, _message):
        self._polls[ENTRY_ROLE].bring_forward(time.monotonic())
        self._look_around(None)

    def _announce_leaving(self, _message):
        self._leaving = True
        self._polls['register'].bring_forward(time.monotonic())

    def _encode(self):
        own = self._own
        return platform_pb2.Instance(
            name=own.name,
            role=ENTRY_ROLE,
            zone=own.zone,
            address=own.address,
            api=own.api,
            leaving=self._leaving,
            admin=own.admin,
        )


def _decode(item):
    return Instance(item.name, item.zone, item.address, item.api, item.leaving)


def _make_call(func, arg):
    """Make a call to the platform.

    :returns: its answer, True if it gives none, None if it failed.
    """
    try:
        answer = func(arg)
    except CodedError as exc:
        _LOG.info('instances: no answer', extra={'code': str(exc.code)})
        return None
    except Exception:
        # Without an end the poll would count as under way for ever.
        _LOG.exception('instances: call broke')
        return None
    return True if answer is None else answer
