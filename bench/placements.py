"""Measure ways to place new flows, the related paper's among them.

Run ``python -m bench.placements``; it writes docs/decisions/placements.md.
Callers ask at very different rates (Zipf), which is where advice about
their loads could help.  Only the choice of a new flow's target differs.
"""

import random
import statistics
from collections import Counter
from pathlib import Path

from features.decision_loop.arrivals import make_arrivals, name_caller
from features.decision_loop.comparison import make_random_entry
from features.decision_loop.entries import GuardedEntry, NaiveEntry
from features.decision_loop.outcomes import measure_imbalance
from features.decision_loop.sites import SITES
from features.decision_loop.world import Plan, World

TABLE = Path(__file__).resolve().parent.parent / 'docs/decisions/placements.md'
END_S = 30.0
LOAD = 0.7
SEEDS = range(1, 11)
BUDGET = 3
"""Targets that one caller's flows may use, the paper's d."""


def make_skewed_plan(site, seed):
    """Make arrivals whose callers ask at rates 1, 1/2, 1/3 and so on."""
    rng = random.Random(f'placements/{site.name}/{seed}')
    callers = [f'caller-{number}' for number in range(site.callers)]
    rng.shuffle(callers)
    total = sum(1 / place for place in range(1, site.callers + 1))
    rates = {
        caller: LOAD / place / total for place, caller in enumerate(callers, 1)
    }
    arrivals = []
    for caller, rate in rates.items():
        flows = [
            flow
            for flow in range(site.flows)
            if name_caller(site, flow) == caller
        ]
        arrivals += make_arrivals(rng, site, rate, 0, END_S, flows)
    return Plan(site, END_S, arrivals), rates


def spoil_advice(rates, error, rng):
    """Replace a share of the advised loads by those of other callers."""
    names = sorted(rates)
    shuffled = names[:]
    rng.shuffle(shuffled)
    return {
        name: (1 - error) * rates[name] + error * rates[other]
        for name, other in zip(names, shuffled, strict=True)
    }


def connect_callers(advice, targets, rng):
    """Give each caller its targets as the paper's RANDOMIZED GREEDY does."""
    total = sum(advice.values())
    room = {target: 1 / len(targets) for target in targets}
    found = {}
    for caller in sorted(advice, key=advice.get, reverse=True):
        load = advice[caller] / total
        if load > BUDGET / len(targets):
            found[caller] = rng.sample(targets, BUDGET)
            continue
        mine = []
        for target in targets:
            if load <= 0 or len(mine) == BUDGET:
                break
            if room[target] > 0:
                part = min(room[target], load)
                room[target] -= part
                load -= part
                mine.append(target)
        rest = [target for target in targets if target not in mine]
        found[caller] = mine + rng.sample(rest, BUDGET - len(mine))
    return found


class AdvisedEntry(GuardedEntry):
    """Chooses the least advised load among a caller's targets."""

    def __init__(self, world, number, zone, rng, advice, connected):
        super().__init__(world, number, zone, rng)
        self.advice = advice
        self.connected = connected
        self.advised = Counter()

    def open_flow(self, flow):
        """Pin a flow by advice alone."""
        caller = name_caller(self.world.plan.site, flow.number)
        names = self.connected[caller] if self.connected else None
        names = names or sorted(self.world.service.targets)
        lowest = min(self.advised[name] for name in names)
        target = self.rng.choice(
            [name for name in names if self.advised[name] == lowest]
        )
        self.advised[target] += self.advice[caller]
        self.pin(flow, target)
        return True


class ReportEntry(GuardedEntry):
    """Chooses the least loaded by the latest reports alone."""

    CHOICES = None

    def open_flow(self, flow):
        """Pin a flow to the least loaded of some targets."""
        names = sorted(self.world.service.targets)
        if self.CHOICES:
            names = self.rng.sample(names, self.CHOICES)
        loads = self.placement._loads
        lowest = min(loads[name].other_requests for name in names)
        target = self.rng.choice(
            [name for name in names if loads[name].other_requests == lowest]
        )
        self.pin(flow, target)
        return True


class TwoChoicesEntry(ReportEntry):
    """The same between two random targets."""

    CHOICES = 2


class TwoOwnEntry(GuardedEntry):
    """Chooses the fewer own flows of two random targets."""

    def open_flow(self, flow):
        """Pin a flow to one of two targets."""
        names = self.rng.sample(sorted(self.world.service.targets), 2)
        self.pin(flow, min(names, key=lambda name: len(self.pinned[name])))
        return True


def list_candidates(rates, targets, seed):
    """List (name, entry maker) of the ways that are compared."""
    found = [
        ('ours', GuardedEntry),
        ('round robin, naive', NaiveEntry),
        ('random, naive', make_random_entry),
        ('least reported', ReportEntry),
        ('two choices, reported', TwoChoicesEntry),
        ('two choices, own flows', TwoOwnEntry),
    ]
    for error in (0, 0.5, 1):
        rng = random.Random(f'advice/{seed}/{error}')
        advice = spoil_advice(rates, error, rng)
        connected = connect_callers(advice, targets, rng)
        for name, links in (('paper', connected), ('least advised', None)):
            found.append(
                (
                    f'{name}, advice wrong by {error}',
                    make_advised(advice, links),
                )
            )
    return found


def make_advised(advice, connected):
    """Return a maker of advised entries."""

    def make_entry(world, number, zone, rng):
        return AdvisedEntry(world, number, zone, rng, advice, connected)

    return make_entry


def measure_site(site):
    """Return {candidate: [(work imbalance, p99)]} over the seeds."""
    found = {}
    for seed in SEEDS:
        plan, rates = make_skewed_plan(site, seed)
        targets = sorted(site.build_service().targets)
        for name, make_entry in list_candidates(rates, targets, seed):
            naive = 'naive' in name
            plan.queue = 10**9 if naive else None
            opens = random.Random(f'opens/{seed}')
            plan.opens = {
                flow: opens.random() * 5.0 for flow in range(site.flows)
            }
            plan.arrivals = [one for one in plan.arrivals if one.at > 5.0]
            world = World(plan, make_entry, seed).run()
            busy = [target.busy_s for target in world.targets.values()]
            found.setdefault(name, []).append(
                (
                    measure_imbalance(busy),
                    world.tally.find_percentile(0.99),
                    world.tally.moves,
                )
            )
    return found


def main():
    """Write the table."""
    lines = [
        '# Ways to place new flows, measured',
        '',
        f'Made by `python -m bench.placements`: {len(SEEDS)} seeds, load '
        f'{LOAD}, callers at Zipf rates; median (worst).',
        '',
    ]
    for place, site in SITES.items():
        lines += [
            f'### {place}',
            '',
            '| way | imbalance of work | p99 s | moves |',
            '|---|---|---|---|',
        ]
        for name, rows in measure_site(site).items():
            cells = [
                f'{statistics.median(samples):.3f} ({max(samples):.3f})'
                for samples in zip(*rows, strict=True)
            ]
            lines.append(f'| {name} | ' + ' | '.join(cells) + ' |')
        lines.append('')
    TABLE.parent.mkdir(parents=True, exist_ok=True)
    TABLE.write_text('\n'.join(lines))
    print('\n'.join(lines))


if __name__ == '__main__':
    main()
