"""Commands that rotate token keys: add, sign, retire, in this order."""

import secrets
import time

from cornelgap.cfg import applying, audit, publishing, staging
from cornelgap.cfg.comparison import fingerprint
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.settings import KeyStage
from cornelgap.operators import printing
from cornelgap.operators.changing import (
    ChangeOptions,
    change_in_force,
    show_in_force,
)
from cornelgap.operators.connection import Connection, Reach
from cornelgap.operators.exits import Exit

_SECRET_BYTES = 32


def list_keys(*, connection: Connection | None = None):
    """List the keys, by fingerprint, and their stages."""
    with Reach.from_connection(connection).open_store() as store:
        base = applying.load_base(store)
    printing.print_table(
        ('key', 'stage', 'secret'),
        [
            (key.key_id, key.stage, fingerprint(key.secret))
            for _, key in sorted(base.keys.items())
        ],
    )
    return Exit.DONE


def add(
    *,
    options: ChangeOptions | None = None,
    connection: Connection | None = None,
):
    """Add a new random key; the first one signs at once."""

    def make_plan(store):
        base = applying.load_base(store)
        cfg, _ = staging.add_key(base, secrets.token_bytes(_SECRET_BYTES))
        return applying.plan_change(base, cfg)

    return change_in_force(connection, options, make_plan)[1]


def sign(
    key_id: int,
    *,
    options: ChangeOptions | None = None,
    connection: Connection | None = None,
):
    """Sign with a published key from now on; the old one retires.

    Refused until every entry instance has the revision that published it:
    one without the key would refuse valid tokens.

    :param key_id: number of the key.
    """
    options = options or ChangeOptions()
    reach = Reach.from_connection(connection)
    with reach.open_store() as store:
        base = applying.load_base(store)
        staging.sign_with(base, key_id)
        code = show_in_force(reach, store, base.stamp, options.wait_s)
    if code != Exit.DONE:
        return code

    def make_plan(store):
        base = applying.load_base(store)
        return applying.plan_change(base, staging.sign_with(base, key_id))

    return change_in_force(connection, options, make_plan)[1]


def retire(
    key_id: int,
    *,
    options: ChangeOptions | None = None,
    connection: Connection | None = None,
):
    """Take out a key that retired longer ago than any token lives.

    :param key_id: number of the key.
    """

    def make_plan(store):
        base = applying.load_base(store)
        retiring_s = measure_retiring(store, key_id, time.time())
        cfg = staging.retire_key(base, key_id, retiring_s)
        return applying.plan_change(base, cfg)

    return change_in_force(connection, options, make_plan)[1]


def measure_retiring(store, key_id, now):
    """Measure from the audit trail how long ago a key stopped signing.

    :param store: the platform's store.
    :param key_id: number of the key.
    :param now: this machine's clock, seconds since the epoch.
    :return: seconds; 0 if the trail does not tell.
    :raises CodedError: ``OPS_AUDIT_BROKEN`` if the trail cannot be read.
    """
    findings = []
    _, root = publishing.read_root(store)
    for record in audit.walk_trail(store, root, findings):
        changes, found = audit.load_changes(store, record)
        findings += found
        for change in changes:
            if change.key != f'key.{key_id}.stage':
                continue
            if change.after == KeyStage.RETIRING:
                return now - record.at_unix_ms / 1000
    if findings:
        raise CodedError(Code.OPS_AUDIT_BROKEN, findings[0].text)
    return 0
