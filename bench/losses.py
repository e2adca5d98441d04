"""When a played day lost its worth, what was going on, and what we did.

``python -m bench.losses REPORT [LOG]`` reads what ``run --report FILE``
wrote and what ``run --log all`` printed.  For each window that lost worth it
prints how much of the day's loss that is, how its requests ended, which
disturbances began or lasted then, and from the log what the instances did
with openings and flows that met trouble and what they believed.
"""

import json
import re
import sys
from collections import Counter

LEAST_SHARE = 0.02
"""Windows that lost less of a day's loss are summed up in one line."""

ENDS = ('late', 'refused', 'failed')

CAUSES = {
    'node: started': 'instance started',
    'node: leaving': 'instance left',
    'forwarding: process stood still': 'instance stood still',
    'forwarding: targets given up': 'silent targets changed',
    'forwarding: targets fail more than their peers': 'outliers changed',
    'forwarding: zones away': 'zones away changed',
    'directory: drained zones changed': 'drained zones changed',
    'follower: store lost': 'store lost',
}
"""Lines that tell of a cause by themselves."""

ORDINARY = ('placed', 'known', 'no_route', 'route_dropped')
"""What becomes of packets without any trouble."""

LOG_LINE = re.compile(r'^ +(\d+\.\d+) \S+ (\{.*\})$')


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


def name_cause(line):
    """Return what a line of the log tells of trouble, or None.

    :param line: the fields of one line.
    """
    cause = CAUSES.get(line['message'])
    if cause is not None:
        return cause
    why = line.get('why')
    if why is None or why in ORDINARY:
        return None
    return why


def load_causes(path):
    """Load what a log tells of trouble.

    :returns: list of tuples (seconds, cause); lines of another form, as the
        tables around the log, are passed over.
    """
    found = []
    with open(path, encoding='utf-8') as file:
        for text in file:
            match = LOG_LINE.match(text)
            if match is None:
                continue
            cause = name_cause(json.loads(match.group(2)))
            if cause is not None:
                found.append((float(match.group(1)), cause))
    return found


def count_causes(causes, begins_at, ends_at):
    """Return counts of the causes of a time as text, the most first."""
    counts = Counter(cause for at, cause in causes if begins_at <= at < ends_at)
    return ', '.join(f'{count} {name}' for name, count in counts.most_common())


def make_rows(report, causes=()):
    """Return a row (seconds, share, lost, ends, events, causes) a window."""
    windows = report['windows']
    begins = [float(window['name']) for window in windows]
    length = begins[1] - begins[0] if len(begins) > 1 else 0
    total = sum(map(compute_lost, windows)) or 1
    rows = []
    for window, begins_at in zip(windows, begins, strict=True):
        lost = compute_lost(window)
        ends = ', '.join(f'{window[name]} {name}' for name in ENDS)
        ends_at = begins_at + length
        events = ', '.join(list_events(report['events'], begins_at, ends_at))
        did = count_causes(causes, begins_at, ends_at)
        rows.append((begins_at, lost / total, lost, ends, events, did))
    return rows


def print_report(path, log=None):
    """Print the windows of one report as a table.

    :param log: path of the log of the same play, or None.
    """
    with open(path, encoding='utf-8') as file:
        report = json.load(file)
    rows = make_rows(report, load_causes(log) if log else ())
    shown = [row for row in rows if row[1] >= LEAST_SHARE]
    print(f'{path}: worth {report["G"]:.3f}')
    print('| from s | of the loss | lost | ends | disturbances | log |')
    print('| --- | --- | --- | --- | --- | --- |')
    for begins_at, share, lost, *texts in shown:
        told = ' | '.join(texts)
        print(f'| {begins_at:.0f} | {share:.0%} | {lost:.1f} | {told} |')
    rest = 1 - sum(row[1] for row in shown)
    print(f'| others | {rest:.0%} | | | | |')


def main():
    """Print the table of one report, with its log if that is named."""
    print_report(*sys.argv[1:3])


if __name__ == '__main__':
    main()
