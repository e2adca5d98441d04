"""The key under which instances talk to each other, kept in the store."""

import logging
import os
from hashlib import blake2b

from msgspec import Struct

from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor
from cornelgap.platform.store import Conflict

KEYS = 'keys'
KIND = 'cornelgap-keys'
NAME = 'peers'
KEY_BYTES = 32
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = blake2b.MAX_KEY_SIZE
RETRY_S = 0.5
_LOG = logging.getLogger('cornelgap.node')


class CheckKey(Struct, frozen=True):
    """Message: read the key, again if it is known."""


class KeyKeeper(NamedActor):
    """Learns the key and keeps it in the store.

    :param client: :class:`~cornelgap.platform.store.StoreClient` of its own.
    :param pause: function that sleeps for some seconds.
    :param on_key: function that is told the key each time it was read.
    """

    use_daemon_thread = True

    def __init__(self, scope, client, pause, on_key):
        """Know no key yet."""
        super().__init__(scope, KEYS)
        self._client = client
        self._pause = pause
        self._on_key = on_key
        self._key = None
        self.handlers = {CheckKey: self._check}

    def acquire_resources(self):
        """Learn the key."""
        tell_actor(self.scope, KEYS, CheckKey())

    def release_resources(self):
        """Close the connection."""
        self._client.close()

    def _check(self, _message):
        self._key = learn_key(self._client, self._pause, self._key)
        self._on_key(self._key)


def learn_key(client, pause, known=None):
    """Read the key, or write it if there is none.

    Tries until the store answers; until then the instance works alone.

    :param client: :class:`~cornelgap.platform.store.StoreClient`.
    :param pause: function that sleeps for some seconds.
    :param known: the key so far; written if the store has lost it.  Where it
        was made anew meanwhile, that one holds for all.
    :returns: bytes.
    """
    failing = False
    while True:
        try:
            return _read_or_make(client, known)
        except Exception as exc:
            # The entry may hold anything; whatever it raises, the instance
            # works without a key.
            if not failing:
                _LOG.warning('node: no key yet', extra={'error': repr(exc)})
            failing = True
            client.close()
            pause(RETRY_S)


def _read_or_make(client, known):
    # A key changes only if the store has lost it, so an old copy is as good
    # for a start; that there is none is certain from a fresh answer only.
    found = None
    if known is None:
        found = client.read_object(KIND, NAME, stale=True)
    if found is None:
        found = client.read_object(KIND, NAME)
    if found is None:
        made = {'key': (known or os.urandom(KEY_BYTES)).hex()}
        try:
            found = client.create_object(KIND, NAME, made)
        except Conflict:
            # Another instance was first; its key holds for all.
            found = client.read_object(KIND, NAME)
    client.close()
    return parse_key(found['spec']['key'])


def parse_key(text):
    """Read a key from hex digits.

    :raises ValueError: if it has no usable length.  Messages cannot be
        signed with a longer one, and anyone could forge them with none.
    """
    key = bytes.fromhex(text)
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ValueError(
            f'{len(key)} bytes, not {MIN_KEY_BYTES} to {MAX_KEY_BYTES}'
        )
    return key
