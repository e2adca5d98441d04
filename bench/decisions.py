"""Measure the decisions against naive ones: tables and small plots.

Run ``python -m bench.decisions`` (about ten minutes on one core); it
writes docs/decisions/ (tables, aims and plots).  Each pattern runs with the
same seeded arrivals under every policy; median and worst over the seeds.
"""

import argparse
import platform
import statistics
import time
from collections import Counter
from pathlib import Path

from matplotlib import pyplot

from features.decision_loop.bounds import (
    bound_good_work,
    schedule_pinned,
    schedule_pooled,
)
from features.decision_loop.comparison import POLICIES, run_pattern
from features.decision_loop.outcomes import Outcome, measure_imbalance
from features.decision_loop.patterns import PATTERNS
from features.decision_loop.sites import SITES

FOLDER = Path(__file__).resolve().parent.parent / 'docs' / 'decisions'
WEIGHT_SEEDS = 5
WEIGHTS = (0, 0.2, 0.5, 0.8, 1)
MEASURES = {
    'work of bound': max,
    'in time': max,
    'refused': min,
    'late': min,
    'lost': min,
    'short p99 s': min,
    'imbalance': min,
    'work after 3 s': min,
    'moves': min,
}


def is_short(arrival):
    """Say whether a request is no long job."""
    return not arrival.long_job


def is_other(arrival):
    """Say whether a request is not the hot caller's."""
    return arrival.caller != 'caller-0'


def measure_world(world):
    """Measure one run as numbers in the order of MEASURES."""
    tally = world.tally
    bound = bound_good_work(world.plan)
    busy = [target.busy_s for target in world.targets.values()]
    return (
        tally.sum_good_work(world.plan.end_s) / bound,
        tally.share(Outcome.IN_TIME),
        tally.share(Outcome.REFUSED),
        tally.share(Outcome.LATE),
        tally.share(Outcome.LOST),
        tally.find_percentile(0.99, is_short),
        measure_imbalance(busy),
        tally.late_work,
        tally.moves,
    )


def pair_median_and_worst(samples, better):
    """Return the median and the worst of samples."""
    worst = min(samples) if better is max else max(samples)
    return statistics.median(samples), worst


def format_pair(pair):
    """Write median and worst as one table cell."""
    return f'{pair[0]:.3g} ({pair[1]:.3g})'


def measure_pattern(pattern, site, seeds):
    """Return {policy: [(median, worst) of each measure]}."""
    found = {}
    for policy in POLICIES:
        runs = [
            measure_world(run_pattern(pattern, site, seed, policy))
            for seed in seeds
        ]
        found[policy] = [
            pair_median_and_worst(samples, better)
            for samples, better in zip(
                zip(*runs, strict=True), MEASURES.values(), strict=True
            )
        ]
    return found


def write_pattern(pattern, site, found):
    """Return one pattern's table."""
    lines = [
        f'### {pattern}, {site}',
        '',
        '| policy | ' + ' | '.join(MEASURES) + ' |',
        '|---' * (len(MEASURES) + 1) + '|',
    ]
    for policy, pairs in found.items():
        cells = ' | '.join(map(format_pair, pairs))
        lines.append(f'| {policy} | {cells} |')
    return '\n'.join([*lines, ''])


def measure_aims(site, seeds):
    """Return rows of (aim, ours, bound) for the figures asked of us."""
    capacity_shares = []
    others = []
    mixed = []
    pinned = []
    pooled = []
    spread = []
    doubts = []
    for seed in seeds:
        world = run_pattern('overload 3', site, seed, 'ours')
        plan = world.plan
        capacity = plan.site.capacity * plan.end_s
        capacity_shares.append(world.tally.sum_good_work(plan.end_s) / capacity)
        others.append(compare_others(site, seed))
        ratios = compare_long(site, seed)
        mixed.append(ratios[0])
        pinned.append(ratios[1])
        pooled.append(ratios[2])
        world = run_pattern('spread', site, seed, 'ours')
        busy = [target.busy_s for target in world.targets.values()]
        spread.append(measure_imbalance(busy))
        world = run_pattern('burst', site, seed, 'ours')
        doubts.append(
            (
                world.tally.count(Outcome.LATE),
                world.tally.share(Outcome.LOST),
            )
        )
    late, lost = zip(*doubts, strict=True)
    return [
        ('useful work at 3 times, of capacity (>= 0.95)', capacity_shares, max),
        ("other callers' answers kept beside a hot one (> 0.95)", others, max),
        ('short p99 with long jobs / without (<= 2)', mixed, min),
        ('  the same, omniscient, same pins', pinned, min),
        ('  the same, omniscient, no pins', pooled, min),
        ('imbalance of work, load 0.7, 30 s (<= 1.15)', spread, min),
        ('answers after their deadline in a burst (0)', late, min),
        ('requests in doubt in a burst', lost, min),
    ]


def compare_others(site, seed):
    """Return the share of the others' answers kept beside a hot caller."""
    hot = run_pattern('hot caller', site, seed, 'ours')
    calm = run_pattern('hot caller', site, seed, 'ours', (('hot', False),))
    kept = hot.tally.share(Outcome.IN_TIME, is_other)
    return kept / calm.tally.share(Outcome.IN_TIME, is_other)


def compare_long(site, seed):
    """Return p99 ratios of short requests: ours and two bounds."""
    mixed = run_pattern('long jobs', site, seed, 'ours')
    alone = run_pattern('long jobs', site, seed, 'ours', (('long', False),))
    pairs = (
        (mixed.tally, alone.tally),
        (
            schedule_pinned(mixed.plan, alone.flows),
            schedule_pinned(alone.plan, alone.flows),
        ),
        (schedule_pooled(mixed.plan), schedule_pooled(alone.plan)),
    )
    return [
        one.find_percentile(0.99, is_short)
        / other.find_percentile(0.99, is_short)
        for one, other in pairs
    ]


def write_aims(site, seeds):
    """Return the table of aims."""
    lines = [
        f'### Aims, {site}',
        '',
        '| aim | median | worst |',
        '|---|---|---|',
    ]
    for name, samples, better in measure_aims(site, seeds):
        median, worst = pair_median_and_worst(samples, better)
        lines.append(f'| {name} | {median:.4g} | {worst:.4g} |')
    return '\n'.join([*lines, ''])


def write_weights(site, seeds):
    """Return the table of what the imbalance weight changes."""
    lines = [
        f'### Imbalance weight, a target joins, {site}',
        '',
        '| weight | moves | imbalance of flows at the end | short p99 s |',
        '|---|---|---|---|',
    ]
    for weight in WEIGHTS:
        rows = []
        for seed in seeds:
            options = (('weight', weight),)
            world = run_pattern('joining target', site, seed, 'ours', options)
            flows = Counter(flow.target for flow in world.flows.values())
            counts = [flows[name] for name in world.targets]
            took = world.tally.find_percentile(0.99)
            rows.append((world.tally.moves, measure_imbalance(counts), took))
        cells = [
            format_pair(pair_median_and_worst(samples, min))
            for samples in zip(*rows, strict=True)
        ]
        lines.append(f'| {weight} | ' + ' | '.join(cells) + ' |')
    return '\n'.join([*lines, ''])


def plot_measure(results, index, name):
    """Plot one measure of all patterns, one small picture a site."""
    pyplot.switch_backend('Agg')
    for site in SITES:
        patterns = [pattern for pattern, place in results if place == site]
        figure, axes = pyplot.subplots(figsize=(7, 3), dpi=70)
        width = 0.8 / len(POLICIES)
        for place, policy in enumerate(POLICIES):
            heights = [
                results[pattern, site][policy][index][0] for pattern in patterns
            ]
            axes.bar(
                [at + place * width for at in range(len(patterns))],
                heights,
                width,
                label=policy,
            )
        axes.set_xticks(range(len(patterns)), patterns, rotation=40, fontsize=7)
        axes.set_title(f'{name}, {site}, median', fontsize=9)
        axes.legend(fontsize=6)
        figure.tight_layout()
        stem = name.replace(' ', '-')
        figure.savefig(FOLDER / f'{stem}-{site.lower()}.png')
        pyplot.close(figure)


def write_head(title, seeds):
    """Return the lines that say how a file was made."""
    return [
        f'# {title}',
        '',
        f'Made by `python -m bench.decisions` over {len(seeds)} seeds with '
        f'Python {platform.python_version()} on {time.strftime("%Y-%m-%d")}; '
        'median (worst).',
        "Simulated time, so the machine's speed does not enter.",
        '',
    ]


def run_patterns(patterns, seeds):
    """Write tables.md and the plots."""
    parts = write_head('Decisions, measured', seeds)
    results = {}
    for pattern in patterns:
        for site in SITES:
            found = measure_pattern(pattern, site, seeds)
            results[pattern, site] = found
            parts.append(write_pattern(pattern, site, found))
            print(parts[-1], flush=True)
            (FOLDER / 'tables.md').write_text('\n'.join(parts))
    plot_measure(results, 0, 'work of bound')
    plot_measure(results, 1, 'in time')


def run_aims(site, seeds):
    """Write one site's aims and imbalance weights."""
    parts = write_head(f'Aims, {site}', seeds)
    parts.append(write_aims(site, seeds))
    parts.append(f'Weights: {WEIGHT_SEEDS} seeds at most.\n')
    parts.append(write_weights(site, seeds[:WEIGHT_SEEDS]))
    print(*parts, sep='\n', flush=True)
    (FOLDER / f'aims-{site.lower()}.md').write_text('\n'.join(parts))


def main():
    """Run all patterns and aims, or those named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--pattern', action='append', choices=list(PATTERNS))
    parser.add_argument('--aims', action='append', choices=list(SITES))
    args = parser.parse_args()
    FOLDER.mkdir(parents=True, exist_ok=True)
    seeds = range(1, args.seeds + 1)
    everything = not (args.pattern or args.aims)
    patterns = PATTERNS if everything else args.pattern
    for site in SITES if everything else args.aims or ():
        run_aims(site, seeds)
    if patterns:
        run_patterns(patterns, seeds)


if __name__ == '__main__':
    main()
