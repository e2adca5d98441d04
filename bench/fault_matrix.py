"""Sweep the fault matrix with many seeds: ``python -m bench.fault_matrix``.

Prints a line for each violation, with the seed that shows it again, and a
closing table.  CI sweeps the same cells with one seed each.
"""

import argparse
import sys
import time
from collections import Counter

from features.proofs import chaos, matrix

SEED_STEP = 10000


def sweep_seed(seed, tally):
    """Sweep all cells once from a seed and count into the tally."""
    cells = matrix.list_single_cells() + matrix.list_double_cells()
    outcomes, skipped = matrix.sweep(cells, seed)
    tally['cells'] += len(outcomes)
    tally['not applicable'] += len(skipped)
    for one in outcomes:
        if one.struck < len(one.cell.faults):
            tally['step not seen'] += 1
            print(f'not seen: seed {one.seed} {one.cell}')
        for name, lines in one.found.items():
            tally[f'violation of {name}'] += 1
            print(f'{name}: seed {one.seed} {one.cell}: {lines[0]}')


def sweep_chaos(first, count, faults, tally):
    """Run random faults in random order for a number of seeds."""
    for seed in range(first, first + count):
        found, _, log = chaos.run_seed(seed, faults)
        tally[f'random runs of {faults} faults'] += 1
        for name, lines in found.items():
            tally[f'violation of {name}'] += 1
            print(f'{name}: chaos seed {seed} {log}: {lines[0]}')


def main():
    """Sweep and print the tally; exit 1 on any violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--first', type=int, default=100000)
    parser.add_argument('--random', type=int, default=100)
    options = parser.parse_args()
    began = time.monotonic()
    tally = Counter()
    for number in range(options.seeds):
        sweep_seed(options.first + number * SEED_STEP, tally)
    for faults in (2, 4):
        sweep_chaos(options.first, options.random, faults, tally)
    for name, count in tally.items():
        print(f'{count:8d}  {name}')
    print(f'{time.monotonic() - began:8.1f}  seconds')
    return any(name.startswith('violation') for name in tally)


if __name__ == '__main__':
    sys.exit(main())
