"""Texts and tables that commands print."""

import datetime
import json
import sys

from google.protobuf import json_format

_MAX_CHANGES = 20


def print_error(exc):
    """Print a coded error, for a person and for a search by its code."""
    print(f'error: {exc}', file=sys.stderr)


def print_findings(findings):
    """Print findings, one a line."""
    for finding in findings:
        print(finding, file=sys.stderr)


def print_changes(changes, limit=_MAX_CHANGES):
    """Print changes, one a line, and how many were left out."""
    for change in changes[:limit]:
        print(f'  {change}')
    if len(changes) > limit:
        print(f'  ... and {len(changes) - limit} more')


def print_entry(record, changes=(), limit=_MAX_CHANGES):
    """Print one entry of the audit trail.

    :param record: :class:`cornelgap.cfg.audit.AuditRecord`.
    :param changes: its changes.
    :param limit: how many changes at most.
    """
    when = datetime.datetime.fromtimestamp(
        record.at_unix_ms / 1000, datetime.UTC
    )
    print(
        f'revision {record.revision}  {when:%Y-%m-%d %H:%M:%S}Z  '
        f'{record.who}  write {record.write_id}  '
        f'digest {record.digest}'
    )
    print(f'  {record.message}')
    print_changes(list(changes), limit)


def print_in_force(outcomes, revision):
    """Print instance by instance how a revision was taken up."""
    for outcome in outcomes:
        if outcome.after_s is None:
            print(f'  {outcome.name}: not in force, {outcome.reason}')
        else:
            print(f'  {outcome.name}: in force after {outcome.after_s:.2f} s')
    if outcomes and all(item.after_s is not None for item in outcomes):
        print(f'revision {revision} is in force on {len(outcomes)} instances')


def print_table(titles, rows):
    """Print rows below titles, in columns."""
    texts = [titles, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print('  '.join(cells).rstrip())


def print_status(statuses, as_json):
    """Print what entry instances said, as tables or as JSON.

    :param statuses: :class:`cornelgap.operators.fleet.InstanceStatus`.
    :param as_json: print one JSON document.
    """
    if as_json:
        found = [_describe_status(status) for status in statuses]
        print(json.dumps({'instances': found}, indent=2))
        return
    print_table(
        ('instance', 'zone', 'revision', 'era', 'state', 'up s', 'flows')
        + ('running', 'waiting', 'refused'),
        [_list_cells(status) for status in statuses],
    )
    rows = [
        (item.target, item.service, status.name, item.state)
        + (item.in_flight, item.flows)
        for status in statuses
        if status.reply is not None
        for item in status.reply.targets
    ]
    if rows:
        print()
        print_table(
            ('target', 'service', 'seen by', 'state', 'running', 'flows'),
            sorted(rows),
        )


def _list_cells(status):
    reply = status.reply
    if reply is None:
        return [status.name, status.zone, '-', '-', status.reason, *'-----']
    names = ('flows', 'in_flight', 'waiting', 'refused')
    return [
        status.name,
        status.zone,
        reply.revision,
        reply.era,
        'leaving' if reply.leaving else 'serving',
        reply.uptime_s,
        *(
            sum(getattr(item, name) for item in reply.services)
            for name in names
        ),
    ]


def _describe_status(status):
    described = {'name': status.name, 'zone': status.zone}
    if status.reply is None:
        return described | {'reason': status.reason}
    return described | json_format.MessageToDict(
        status.reply,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
