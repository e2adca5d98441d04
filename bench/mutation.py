"""Take out each guard and see that some scenario goes red.

``python -m bench.mutation`` runs the features of the proofs once for each
guard of :mod:`features.proofs.guards`, with that guard taken out for the
whole run (``-D guard=NAME``), and prints a table.  A guard that no
scenario misses is either not needed or not proved.

The fault matrix is left out unless ``--matrix`` is given: with it a run
takes a minute a guard.
"""

import argparse
import concurrent.futures
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from features.proofs.guards import GUARDS

ROOT = Path(__file__).resolve().parent.parent
FEATURES = (
    'features/proof_traps.feature',
    'features/forwarding_traps.feature',
    'features/forwarding_store.feature',
    'features/proof_differential.feature',
    'features/proof_world.feature',
)
MATRIX = 'features/proof_matrix.feature'
WORKERS = 3
_NOT_RED = frozenset(('passed', 'skipped', 'untested'))


def run_without(guard, features):
    """Run features without a guard, up to the first red scenario.

    :returns: name of the scenario that went red, empty if none did.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        subprocess.run(
            [
                *(sys.executable, '-m', 'behave', '-D', f'guard={guard}'),
                *('--stop', '-f', 'json', '-o', str(report), *features),
            ],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        found = json.loads(report.read_text())
    red = [
        item['name']
        for feature in found
        for item in feature.get('elements', ())
        if item.get('status', 'failed') not in _NOT_RED
    ]
    return red[0] if red else ''


def main():
    """Run all guards; exit 1 if one is not missed by any scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('guards', nargs='*')
    parser.add_argument('--matrix', action='store_true')
    options = parser.parse_args()
    names = options.guards or list(GUARDS)
    features = [*FEATURES, MATRIX] if options.matrix else list(FEATURES)
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        runs = {
            name: pool.submit(run_without, name, features)
            for name in ('', *names)
        }
        red = {name: run.result() for name, run in runs.items()}
    print(f'with all guards: {red.pop("") or "nothing red"}')
    for name, scenario in red.items():
        trap = str(GUARDS[name].trap or '-')
        print(f'{name:18} trap {trap:>2}  {scenario or "NOT CAUGHT"}')
    caught = sum(bool(scenario) for scenario in red.values())
    print(f'{caught} of {len(red)} guards caught')
    return caught < len(red)


if __name__ == '__main__':
    sys.exit(main())
