"""Flows whose SYN reached two targets: ``python -m bench.split_flows``.

Plays the instances of one zone in virtual time, see
``features/proofs/split_flow_world.py``.  Each seed is played twice: with
instances that restart in turn, and with instances that stand still as well.
``--without GUARD`` takes guards out; it may be given more than once.
"""

import argparse
import sys
from collections import Counter
from contextlib import ExitStack

from features.proofs import guards
from features.proofs.split_flow_world import Chances, World

FREEZES_S = (0, 0.7)
PLAY_S = 30


def play_seeds(seeds, freeze_s):
    """Play some seeds, print the sum of their outcomes and give the red ones."""
    counts = Counter()
    red = []
    for seed in seeds:
        world = World(seed, Chances(freeze_s=freeze_s)).play(PLAY_S)
        counts.update(world.counts)
        counts['wrong resets'] += len(world.breaks)
        if world.breaks:
            red.append(seed)
    shown = ', '.join(
        f'{name} {number}' for name, number in sorted(counts.items())
    )
    print(f'freezes up to {freeze_s} s: {shown}; red seeds: {red}')
    return red


def main():
    """Play all seeds; exit 1 if an open flow was reset by another target."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--without', action='append', default=[])
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    with ExitStack() as stack:
        for guard in options.without:
            stack.enter_context(guards.take_out(guard))
        red = [play_seeds(seeds, freeze_s) for freeze_s in FREEZES_S]
    return int(any(red))


if __name__ == '__main__':
    sys.exit(main())
