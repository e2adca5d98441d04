"""Commands about the audit trail: history and audit."""

import itertools
from typing import Annotated

from cyclopts import Parameter

from cornelgap.cfg import audit, publishing
from cornelgap.core.errors import Code, CodedError
from cornelgap.operators import printing
from cornelgap.operators.connection import Connection, Reach
from cornelgap.operators.exits import Exit

_MANY = 1000000


def history(*, limit: int = 20, connection: Connection | None = None):
    """Show the newest changes, newest first.

    :param limit: how many at most.
    """
    findings = []
    with Reach.from_connection(connection).open_store() as store:
        _, root = publishing.read_root(store)
        records = audit.walk_trail(store, root, findings)
        for record in itertools.islice(records, limit):
            changes, found = audit.load_changes(store, record)
            findings += found
            printing.print_entry(record, changes)
    printing.print_findings(findings)
    return Exit.AUDIT_BROKEN if findings else Exit.DONE


def audit_trail(
    *,
    verify: Annotated[bool, Parameter(negative='')] = False,
    noted: list[str] | None = None,
    connection: Connection | None = None,
):
    """Show the whole audit trail with every changed value, or verify it.

    :param verify: check that no entry is missing or was edited.
    :param noted: REVISION:DIGEST as `history` showed it earlier; shows a
        trail that was rewritten to its end.
    """
    pinned = dict(map(_read_noted, noted or ()))
    with Reach.from_connection(connection).open_store() as store:
        _, root = publishing.read_root(store)
        if verify:
            count, findings = audit.verify_trail(store, root, pinned)
            print(f'{count} entries read')
        else:
            findings = _print_all(store, root)
    printing.print_findings(findings)
    if findings:
        return Exit.AUDIT_BROKEN
    if verify:
        print('the audit trail is whole')
    return Exit.DONE


def _print_all(store, root):
    findings = []
    for record in audit.walk_trail(store, root, findings):
        changes, found = audit.load_changes(store, record)
        findings += found
        printing.print_entry(record, changes, _MANY)
    return findings


def _read_noted(text):
    revision, _, digest = text.partition(':')
    if not revision.isdecimal() or not digest:
        raise CodedError(
            Code.OPS_UNKNOWN_NAME, f'"{text}" is not REVISION:DIGEST'
        )
    return int(revision), digest
