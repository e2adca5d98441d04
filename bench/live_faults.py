"""Faults on real processes over loopback, judged by callers and targets.

Run: ``python -m bench.live_faults [--only NAME]``.  Each run starts Amman's
deployment as processes, lets callers use feeds, refinements and downloads,
and does one kind of harm meanwhile.  It passes only if no request ran
twice, no refusal was false, each answer was right, and each feed went on.
"""

import contextlib
import json
import signal
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import cyclopts

from bench.checks import check_service
from bench.demo import plan_loads, start_load
from bench.deployments import AMMAN, Deployment, dump_target, make_files
from cornelgap.cfg import publishing
from cornelgap.cfg.store import PlatformStore
from cornelgap.core.settings import TargetCfg, TargetMode
from standins.fabric import send_order

STALL_S = 8
"""Longest pause of a feed: a dead home is noticed within about 1.5 s and
the fabric drops it from its list within 2 s."""

NOTICE_S = 2
DRAIN_S = 3
"""A leaving target must get no new work after this long."""

STOP_S = 30
PAUSE_S = 4


class Harm:
    """What one run does to a deployment, with what it needs for it."""

    def __init__(self, deployment, stack):
        """Keep the deployment; new processes end with the stack."""
        self.deployment = deployment
        self.stack = stack
        self.problems = []
        self.facts = {}
        self._next = 100

    def tell_fabric(self, without=()):
        """Tell the fabric which entries there are."""
        deployment = self.deployment
        entries = [
            f'{proc.greeting["public"]}@{deployment.get_zone(index)}'
            for index, (name, proc) in enumerate(deployment.entries.items())
            if name not in without
        ]
        control = deployment.fabric.greeting['control']
        send_order(control, {'entries': entries})

    def start_entry(self):
        """Start one more entry and let the fabric use it once it serves."""
        self._next += 1
        name = self.deployment.start_entry(self.stack, self._next)
        self.tell_fabric()
        return name

    def change_cfg(self, change, message):
        """Publish a changed configuration; ``change`` maps a Cfg to one."""
        address = self.deployment.platform.greeting['address']
        store = PlatformStore.from_address(address)
        cfg, _, errors = publishing.read_current(store)
        if errors:
            raise RuntimeError(f'cannot read the configuration: {errors}')
        result = publishing.publish(
            store, change(cfg), 'bench', message, f'bench-{time.time_ns()}'
        )
        store.close()
        if not result.accepted:
            raise RuntimeError(f'configuration refused: {result.text}')


def kill_entry(harm):
    """An entry is killed; the fabric notices after two seconds."""
    name, proc = next(iter(harm.deployment.entries.items()))
    proc.popen.kill()
    time.sleep(NOTICE_S)
    harm.deployment.entries.pop(name)
    harm.tell_fabric()
    harm.start_entry()


def pause_entry(harm):
    """An entry is frozen past its callers' deadlines, then wakes."""
    proc = next(iter(harm.deployment.entries.values()))
    proc.send_signal(signal.SIGSTOP)
    time.sleep(PAUSE_S)
    proc.send_signal(signal.SIGCONT)


def pause_platform(harm):
    """The platform answers nothing for a while; an entry dies meanwhile."""
    platform = harm.deployment.platform
    platform.send_signal(signal.SIGSTOP)
    kill_entry(harm)
    time.sleep(PAUSE_S)
    platform.send_signal(signal.SIGCONT)


def roll_entries(harm):
    """All six entries are replaced one by one."""
    for name in list(harm.deployment.entries):
        harm.start_entry()
        proc = harm.deployment.entries[name]
        harm.tell_fabric(without=(name,))
        proc.send_signal(signal.SIGTERM)
        if proc.popen.wait(STOP_S) != 0:
            harm.problems.append(f'{name} ended with {proc.popen.returncode}')
        harm.deployment.entries.pop(name)


def roll_targets(harm):
    """All targets are drained and replaced one by one."""
    for name, (service, proc) in list(harm.deployment.targets.items()):
        if not harm.deployment.is_planned(name):
            continue
        fresh = harm.deployment.start_target(harm.stack, service, f'{name}b')
        harm.change_cfg(_make_swap(service, name, fresh), f'replace {name}')
        time.sleep(DRAIN_S)
        before = _count_work(name, service, proc)
        time.sleep(DRAIN_S)
        after = _count_work(name, service, proc)
        if after != before:
            harm.problems.append(
                f'{name} got new work {DRAIN_S} s after it began to leave: '
                f'{before} runs and feeds, then {after}'
            )
        harm.deployment.keep_dump(name)
        proc.send_signal(signal.SIGTERM)


def _make_swap(service, name, fresh):
    def change(cfg):
        old = cfg.services[service.name]
        targets = dict(old.targets)
        targets[name] = replace(targets[name], mode=TargetMode.DRAINING)
        targets[fresh.name] = TargetCfg(
            fresh.name,
            fresh.greeting['address'],
            targets[name].zone,
            service.slots,
        )
        services = dict(cfg.services)
        services[service.name] = replace(old, targets=targets)
        return replace(cfg, services=services)

    return change


def _count_work(name, service, proc):
    dump = json.loads(dump_target(name, service.name, proc))
    return sum(run[3] for run in dump['runs']), dump['follows']


HARMS = {
    'kill-entry': (kill_entry, 20),
    'pause-entry': (pause_entry, 20),
    'pause-platform': (pause_platform, 25),
    'roll-entries': (roll_entries, 60),
    'roll-targets': (roll_targets, 80),
}


def run_harm(name, flows, folder):
    """Run one kind of harm.

    :returns: (problems, report lines).
    """
    do_harm, seconds = HARMS[name]
    files = folder / 'files'
    names = make_files(files)
    deployment = Deployment(AMMAN, folder, files)
    with contextlib.ExitStack() as stack:
        deployment.start(stack, ['--loss', '0.01', '--duplicate', '0.01'])
        loads = plan_loads(AMMAN, flows, seconds, names)
        procs = [start_load(stack, deployment, it, folder) for it in loads]
        time.sleep(4)
        harm = Harm(deployment, stack)
        do_harm(harm)
        for proc in procs:
            code, _ = proc.read_rest(seconds + 90)
            if code:
                harm.problems.append(f'{proc.name} ended with {code}')
        dumps = [json.loads(it) for _, it in deployment.dump_targets().values()]
    lines = []
    for load in loads:
        rows = [
            json.loads(line)
            for line in (folder / f'{load.service}.jsonl').open()
        ]
        found = check_service(load.service, rows, dumps, files, STALL_S)
        harm.problems += found.wrong
        lines.append(
            f'  {load.service}: {found.flows} flows, {found.requests} '
            f'requests {dict(found.verdicts)}, {found.answers_right} right, '
            f'{found.feeds} feeds, {found.feed_resumes} resumed, '
            f'{found.feeds_broken} broken, longest gap '
            f'{found.longest_gap_s} s, {found.doubled} doubled, '
            f'{found.misrouted} misrouted, {found.false_refusals} false'
        )
    return harm.problems, lines


def run_all(*, only: str = '', flows: int = 40):
    """Run all kinds of harm, or one."""
    bad = 0
    for name in HARMS:
        if only and name != only:
            continue
        folder = Path(tempfile.mkdtemp(prefix=f'cornelgap-{name}-'))
        problems, lines = run_harm(name, flows, folder)
        print(f'{name}: {"WRONG" if problems else "nothing wrong"}')
        print('\n'.join(lines + [f'  WRONG: {it}' for it in problems[:8]]))
        if problems:
            print(f'  logs and records: {folder}', flush=True)
        bad += bool(problems)
    return 1 if bad else 0


if __name__ == '__main__':
    sys.exit(cyclopts.run(run_all))
