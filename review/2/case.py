"""An entry that another writer has left hides all others; one more is worse.

The first entry is refused together with everything else in the same answer,
so that no machine hears of a change any more.  The second one ends every
process at each start.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab as labs

FEED = ('198.18.0.1', 8443)
GRIDS = ('198.18.0.2', 8443)
ADDED = ('198.18.0.1', 8080)
DEPTH = 2000
"""Lists within lists in one field: 4 KB of the 1 MB that a value may have."""

DIGITS = 5000
"""Digits of the number in one field of the second entry."""

AFTER_BOUND_S = 0.5
WATCH_S = 20
MANY_ENDS = 3
"""Ends by itself, on a tenth of the machines (two at least), are a fault."""

FOREIGN_ENTRY = {
    'address': '10.0.0.1:80',
    'zone': 'stgo-a',
    'version': 'v1',
    'state': 'ready',
    'warmup_left_ms': 0,
    'seq': 1,
}


def make_nested():
    return labs.Raw('[' * DEPTH + ']' * DEPTH)


def check_calm(lab):
    for place in (FEED, GRIDS):
        flows = lab.probe(place, lab.machines, 2)
        lab.note('before', route=place, ends=labs.group_ends(flows))
        if any(flow.end != 'answered' for flow in flows):
            raise labs.CannotRun('not all is well before the disruption')


def play_hidden(lab, trouble):
    """Leave an entry with a nested list; then change routes and a backend.

    :returns: whether CONFIG held.
    """
    if trouble != '0':
        spec = {**FOREIGN_ENTRY, 'max_concurrent': 2, 'service': make_nested()}
        lab.store.put('servers', 'i-00000bad', spec)
        lab.note('another writer: an entry whose service is a nested list')
    time.sleep(lab.site.contact_s + 1)
    confirmed_at = lab.write_config(
        {FEED: 'horario-vivo', ADDED: 'horario-vivo'}
    )
    leaver = lab.backends[0]
    leaver.state = 'draining'
    draining_at = leaver.write()
    lab.note('a backend reports draining, confirmed', name=leaver.name)
    bound_s = max(lab.site.config_apply_s, lab.site.drain_s) + AFTER_BOUND_S
    wait_until(max(confirmed_at, draining_at) + bound_s)
    dropped = lab.probe(GRIDS, lab.machines, 3)
    added = lab.probe(ADDED, lab.machines, 3)
    kept = lab.probe(FEED, lab.machines, 8)
    for name, flows in (('dropped', dropped), ('added', added), ('kept', kept)):
        lab.note(f'{name} route', ends=labs.group_ends(flows))
    ran = [flow for flow in dropped if lab.find_opening(flow)]
    refused = [flow for flow in added if not lab.find_opening(flow)]
    late = [
        flow
        for flow in kept
        if (found := lab.find_opening(flow)) and found[0] is leaver
    ]
    for what, flows in (
        ('CONFIG: opened on a dropped route', ran),
        ('CONFIG: not opened on an added route', refused),
        ('DRAIN: opened on a draining backend', late),
    ):
        machines = sorted({flow.instance.name for flow in flows})
        lab.note(what, flows=len(flows), machines=machines)
    if trouble != '0':
        lab.store.remove('servers', 'i-00000bad')
        removed_at = time.monotonic()
        lab.note('the writer removes its entry')
        wait_until(removed_at + bound_s)
        again = lab.probe(ADDED, lab.machines, 1)
        lab.note('added route', ends=labs.group_ends(again))
    return not (ran or refused)


def play_ended(lab, trouble):
    """Leave an entry that also has a long number; watch the processes.

    :returns: whether the rule on faults held.
    """
    if trouble != '0':
        spec = {
            'max_concurrent': labs.Raw('9' * DIGITS),
            'service': make_nested(),
            **FOREIGN_ENTRY,
        }
        lab.store.put('servers', 'i-00000bae', spec)
        lab.note('another writer: an entry with a long number as well')
    began = time.monotonic()
    before = {item.name: len(item.ends) for item in lab.machines}
    served = []
    while time.monotonic() - began < WATCH_S:
        flows = lab.probe(FEED, lab.machines)
        good = sum(flow.end == 'answered' for flow in flows)
        served.append((good, len(flows)))
        lab.note('attempts', served=f'{good}/{len(flows)}')
        time.sleep(1)
    often = []
    for machine in lab.machines:
        found = machine.ends[before[machine.name] :]
        codes = sorted({code for _, code in found})
        lab.note(
            'ended by itself',
            machine=machine.name,
            times=len(found),
            exit_codes=codes,
        )
        if len(found) >= MANY_ENDS:
            often.append(machine.name)
    lab.note('served since', share='{}/{}'.format(*map(sum, zip(*served))))
    lab.note(
        'FAULT: machines whose process ended three times or more',
        number=len(often),
        of=len(lab.machines),
    )
    return len(often) < max(2, len(lab.machines) / 10)


def wait_until(end):
    time.sleep(max(0, end - time.monotonic()))


def play(lab, trouble):
    lab.write_config({FEED: 'horario-vivo', GRIDS: 'grillas-pdf'})
    lab.add_backends(
        {
            'horario-vivo': ['stgo-a', 'stgo-b', 'rancagua', 'stgo-a'],
            'grillas-pdf': ['stgo-a', 'stgo-b'],
        }
    )
    lab.add_machines()
    lab.wait_ready()
    lab.note('all machines are ready')
    time.sleep(lab.site.contact_s + 1)
    check_calm(lab)
    config_held = play_hidden(lab, trouble)
    processes_held = play_ended(lab, trouble)
    lab.note(
        'result',
        CONFIG='held' if config_held else 'broken',
        Fault='held' if processes_held else 'broken',
    )
    return config_held and processes_held


labs.run_case(play, labs.VALDES, Path(__file__).with_name('record.txt'))
