"""When a played day lost its worth, and what was going on.

``python -m bench.losses REPORT...`` reads what ``run --report FILE`` wrote.
For each window that lost worth it prints how much of the day's loss that
is, how its requests ended, and which disturbances began or lasted then.  A
window may hold several; their logs say which of them it was.
"""

import json
import sys

LEAST_SHARE = 0.02
"""Windows that lost less of a day's loss are summed up in one line."""

ENDS = ('late', 'refused', 'failed')


def compute_lost(window):
    """Return the requests' worth that a window lost, in whole requests."""
    return (window['n'] - window['not_owed']) * (1 - window['worth'])


def list_events(events, begins_at, ends_at):
    """Return the kinds of the disturbances of a time, in order."""
    return [
        event['kind']
        for event in events
        if event['at_s'] < ends_at and event['to_s'] > begins_at
    ]


def make_rows(report):
    """Return a row (seconds, share, lost, ends, events) a window."""
    windows = report['windows']
    begins = [float(window['name']) for window in windows]
    length = begins[1] - begins[0] if len(begins) > 1 else 0
    total = sum(map(compute_lost, windows)) or 1
    rows = []
    for window, begins_at in zip(windows, begins, strict=True):
        lost = compute_lost(window)
        ends = ', '.join(f'{window[name]} {name}' for name in ENDS)
        events = list_events(report['events'], begins_at, begins_at + length)
        rows.append((begins_at, lost / total, lost, ends, events))
    return rows


def print_report(path):
    """Print the windows of one report as a table."""
    with open(path, encoding='utf-8') as file:
        report = json.load(file)
    rows = make_rows(report)
    shown = [row for row in rows if row[1] >= LEAST_SHARE]
    print(f'{path}: worth {report["G"]:.3f}')
    print('| from s | of the loss | requests lost | ends | disturbances |')
    print('| --- | --- | --- | --- | --- |')
    for begins_at, share, lost, ends, events in shown:
        told = ', '.join(events)
        print(
            f'| {begins_at:.0f} | {share:.0%} | {lost:.1f} | {ends} | {told} |'
        )
    rest = 1 - sum(row[1] for row in shown)
    print(f'| others | {rest:.0%} | | | |')


def main():
    """Print a table a report."""
    for path in sys.argv[1:]:
        print_report(path)


if __name__ == '__main__':
    main()
