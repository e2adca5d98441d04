"""The demo: both deployments at their sizes, with a faulty fabric.

``./demo`` starts each deployment as separate processes on loopback, lets
callers use all services at once, and prints a report that a person can
read.  It ends with 0 only if nothing was broken, doubled or misrouted and
every answer was right.
"""

import contextlib
import json
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import cyclopts

from bench.checks import check_service
from bench.deployments import AMMAN, PERTH, Deployment, make_files
from bench.procs import Proc

FAULTS = ['--loss', '0.01', '--duplicate', '0.01', '--reorder', '0.05']
STALL_S = 5
"""A feed without an event for longer counts as broken; its rate is several
a second."""


@dataclass
class Load:
    """What the callers of one service do."""

    service: str
    flows: int
    options: list


def plan_loads(plan, flows, seconds, names):
    """Plan the load of each service of a deployment.

    :param flows: callers of the first service; the file service has fewer.
    :param names: files to download.
    """
    common = ['--seconds', str(seconds), '--linger-s', '15']
    live, files = plan.services
    return [
        Load(
            live.name,
            flows,
            [
                *common,
                '--topic',
                'feed %s/{flow} 5' % live.name,
                '--requests',
                'hold %s/{flow}/{n}' % live.name,
                '--think-s',
                '0.5',
                '--stall-s',
                str(STALL_S),
            ],
        ),
        Load(
            files.name,
            max(2, flows // 8),
            [
                *common,
                *[
                    part
                    for name in names
                    for part in ('--requests', f'file {name}')
                ],
                '--think-s',
                '0.3',
                '--deadline-s',
                '30',
                '--idempotent',
                '--long-job',
            ],
        ),
    ]


def run_deployment(plan, folder, flows, seconds, stop_one):
    """Run one deployment from start to checks.

    :param stop_one: stop one entry instance gracefully half-way.
    :returns: (:class:`~bench.checks.Findings` of each service, summaries).
    """
    files = folder / 'files'
    names = make_files(files)
    deployment = Deployment(plan, folder, files)
    with contextlib.ExitStack() as stack:
        deployment.start(stack, FAULTS)
        loads = plan_loads(plan, flows, seconds, names)
        procs = [start_load(stack, deployment, load, folder) for load in loads]
        if stop_one:
            time.sleep(seconds / 2)
            name = next(iter(deployment.entries))
            print(f'  planned stop of {name}')
            deployment.entries[name].send_signal(signal.SIGTERM)
        summaries = {}
        for load, proc in zip(loads, procs, strict=True):
            code, out = proc.read_rest(seconds + 90)
            if code != 0:
                raise RuntimeError(f'{proc.name} ended with {code}')
            summaries[load.service] = json.loads(out)
        dumps = [
            json.loads(data) for _, data in deployment.dump_targets().values()
        ]
    findings = [
        check_service(
            load.service,
            _read_rows(folder / f'{load.service}.jsonl'),
            dumps,
            files,
            STALL_S,
        )
        for load in loads
    ]
    return findings, summaries


def start_load(stack, deployment, load, folder):
    """Start the callers of one service as a process."""
    args = ['cornelgap.call.main', 'load', '--service', load.service]
    args += ['--flows', str(load.flows), '--to', deployment.address]
    args += ['--record', str(folder / f'{load.service}.jsonl'), *load.options]
    proc = Proc(f'call-{load.service}', args, folder, greets=False)
    stack.callback(proc.stop)
    return proc


def _read_rows(path):
    return [json.loads(line) for line in path.read_text().splitlines()]


def print_findings(plan, findings, summaries):
    """Print the report of one deployment for a person."""
    print(
        f'\n{plan.name}: {plan.zones} availability zones, '
        f'{plan.entries} entry instances, fabric with 1 % loss, '
        '1 % duplication, 5 % reordering'
    )
    for found in findings:
        _print_service(plan, found, summaries[found.service])


def _print_service(plan, found, summary):
    service = next(s for s in plan.services if s.name == found.service)
    latency = summary['answer_ms']
    rows = [
        ('targets', f'{service.targets} with {service.slots} slots each'),
        ('flows', found.flows),
        ('requests', found.requests),
        ('verdicts', dict(found.verdicts)),
        ('answers right', found.answers_right),
        ('answers wrong', found.answers_wrong),
        ('answer bytes', f'{found.answer_bytes:,}'),
        (
            'answer time',
            f'p50 {latency.get("p50")} ms, p99 {latency.get("p99")} ms',
        ),
        ('feeds', found.feeds),
        ('feed events', found.feed_items),
        ('feeds broken', found.feeds_broken),
        ('feeds resumed', found.feed_resumes),
        ('longest gap', f'{found.longest_gap_s} s'),
        ('doubled', found.doubled),
        ('misrouted', found.misrouted),
        ('lost', found.lost),
        ('false refusals', found.false_refusals),
        (
            'imbalance',
            f'{found.imbalance_runs} in runs, '
            f'{found.imbalance_flows} in flows (largest / mean)',
        ),
    ]
    print(f'  {found.service}')
    for name, text in rows:
        print(f'    {name:15} {text}')
    for sentence in found.wrong[:10]:
        print(f'    WRONG: {sentence}')


def run_demo(
    *,
    flows: int = 80,
    seconds: float = 20,
    only: str = '',
    stop_one: bool = True,
    keep: bool = False,
):
    """Run the demo.

    :param flows: callers of search and of booking; files have an eighth.
    :param only: ``amman`` or ``perth``; both if empty.
    :param stop_one: stop one entry instance gracefully half-way.
    :param keep: keep logs and records in the temporary folder.
    """
    wrong = 0
    for plan in (AMMAN, PERTH):
        if only and plan.name != only:
            continue
        print(f'starting {plan.name} ...', flush=True)
        folder = Path(tempfile.mkdtemp(prefix=f'cornelgap-{plan.name}-'))
        findings, summaries = run_deployment(
            plan, folder, flows, seconds, stop_one
        )
        print_findings(plan, findings, summaries)
        broken = sum(len(found.wrong) for found in findings)
        wrong += broken
        if keep or broken:
            print(f'  logs and records: {folder}')
        else:
            _remove_folder(folder)
    print(f'\nverdict: {"nothing wrong" if not wrong else f"{wrong} wrong"}')
    return 1 if wrong else 0


def _remove_folder(folder):
    for path in sorted(folder.rglob('*'), reverse=True):
        path.rmdir() if path.is_dir() else path.unlink()
    folder.rmdir()


if __name__ == '__main__':
    sys.exit(cyclopts.run(run_demo))
