"""The key under which instances talk to each other, kept in the store."""

import logging
import os

from cornelgap.platform.store import Conflict, StoreError

KIND = 'cornelgap-keys'
NAME = 'peers'
KEY_BYTES = 32
RETRY_S = 0.5
_FAILED = (StoreError, KeyError, TypeError, ValueError)
_LOG = logging.getLogger('cornelgap.node')


def learn_key(client, pause):
    """Read the key, or make it if this is the first instance ever.

    Tries until the store answers; until then the instance works alone.

    :param client: :class:`~cornelgap.platform.store.StoreClient`.
    :param pause: function that sleeps for some seconds.
    :returns: bytes.
    """
    failing = False
    while True:
        try:
            return _read_or_make(client)
        except _FAILED as exc:
            if not failing:
                _LOG.warning('node: no key yet', extra={'error': repr(exc)})
            failing = True
            client.close()
            pause(RETRY_S)


def _read_or_make(client):
    # The key never changes, so a copy of it is as good however old it is;
    # that there is none yet is certain from a fresh answer only.
    found = client.read_object(KIND, NAME, stale=True)
    if found is None:
        found = client.read_object(KIND, NAME)
    if found is None:
        made = {'key': os.urandom(KEY_BYTES).hex()}
        try:
            found = client.create_object(KIND, NAME, made)
        except Conflict:
            # Another instance was first; its key holds for all.
            found = client.read_object(KIND, NAME)
    client.close()
    return bytes.fromhex(found['spec']['key'])
