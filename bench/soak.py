"""Soak forwarded flows: ``python -m bench.soak --seeds 50 [--first N]``.

Real processes meet faults on loopback, see ``features/proofs/soak.py``.  One
line a seed; a seed that fails keeps its logs.  ``--without GUARD`` takes a
guard out and ends at the first seed that objects.
"""

import argparse
import shutil
import sys
import tempfile
import time

from features.proofs import soak


def run_seed(seed, without=''):
    """Run one seed, print its line and give its violations."""
    folder = tempfile.mkdtemp(prefix=f'soak-{seed}-')
    began = time.monotonic()
    plan, tape = soak.run_seed(seed, folder, without)
    print(
        f'seed {seed}: {dict(tape.outcomes)}, resets {dict(tape.resets)},'
        f' stall {tape.stall_s:.2f} s, {time.monotonic() - began:.0f} s:'
        f' {len(tape.found) or "no"} violations',
        flush=True,
    )
    for text in tape.found[:8]:
        print(f'    {text}', flush=True)
    if tape.found:
        struck = ', '.join(strike.kind for strike in plan.strikes)
        print(f'    {struck}; logs in {folder}', flush=True)
    else:
        shutil.rmtree(folder)
    return tape.found


def main():
    """Run the seeds and end with a verdict."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--without', default='')
    options = parser.parse_args()
    red = []
    done = 0
    for seed in range(options.first, options.first + options.seeds):
        done += 1
        if run_seed(seed, options.without):
            red.append(seed)
        if red and options.without:
            break
    print(f'{done - len(red)} of {done} seeds passed, red: {red}')
    return bool(red)


if __name__ == '__main__':
    sys.exit(main())
