"""What control costs each entry instance, and how fast changes are in force.

Run, each printing one JSON object a line:

    python -m bench.control idle 6 12 24 48 96
    python -m bench.control force 200
    python -m bench.control force 200 --down-s 60

``idle`` runs that many entry instances as processes without any caller and
reads, over a minute, processor time from /proc, datagrams from the
administration API and TCP bytes from ``ss``.  ``force`` publishes changes
and asks each instance every 10 ms until it has the revision.
"""

import argparse
import contextlib
import json
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import grpc

from bench.procs import Proc, wait_for
from cornelgap.cfg import publishing
from cornelgap.cfg.store import PlatformStore
from cornelgap.core.settings import Cfg, KeyCfg, ServiceCfg, TargetCfg
from cornelgap.wire import admin_pb2, platform_pb2
from cornelgap.wire.admin_pb2_grpc import AdminStub
from cornelgap.wire.platform_pb2_grpc import ControlStub

ZONES = 4
SETTLE_S = 20
MEASURE_S = 60
POLL_S = 0.01
GAP_S = 0.2
UDP_HEAD = 28
TCP_HEAD = 52
TIMEOUT_S = 90
STARTERS = 8


class Fleet:
    """A platform stand-in and entry instances as processes."""

    def __init__(self, stack, folder, size):
        """Start everything and put revision 1 in force."""
        self.stack = stack
        self.folder = Path(folder)
        self.platform = self._start('platform', ['standins.platform'])
        self.address = self.platform.greeting['address']
        self.store = PlatformStore.from_address(self.address)
        stack.callback(self.store.close)
        channel = stack.enter_context(grpc.insecure_channel(self.address))
        self.control = ControlStub(channel)
        self.revision = 0
        with ThreadPoolExecutor(STARTERS) as starters:
            self.entries = list(starters.map(self._start_entry, range(size)))
        self.stubs = [
            AdminStub(
                stack.enter_context(
                    grpc.insecure_channel(proc.greeting['admin'])
                )
            )
            for proc in self.entries
        ]
        self.publish()
        self.await_revision()

    def _start(self, name, args):
        proc = Proc(name, args, self.folder)
        self.stack.callback(proc.stop)
        return proc

    def _start_entry(self, index):
        name = f'e{index + 1}'
        path = self.folder / f'{name}.ini'
        lines = ['[instance]', f'name = {name}', f'zone = z{index % ZONES}']
        for option in ('public', 'private', 'api', 'admin'):
            lines.append(f'{option} = 127.0.0.1:0')
        lines += [f'platform = {self.address}', '[tls]', 'mode = off']
        path.write_text('\n'.join(lines))
        args = ['cornelgap.entry.main', '--settings', str(path)]
        return self._start(name, args)

    def publish(self):
        """Publish the next revision, a change of one target's address."""
        targets = {
            f's{at}': TargetCfg(f's{at}', f'127.0.0.1:{at + 1}', f'z{at % 4}')
            for at in range(7)
        }
        service = ServiceCfg(
            'search', targets=targets, deadline_ms=30000 + self.revision
        )
        cfg = Cfg(services={'search': service}, keys={1: KeyCfg(1, b'k' * 32)})
        result = publishing.publish(
            self.store, cfg, 'bench', 'next', f'w{self.revision}'
        )
        if not result.accepted:
            raise RuntimeError(result.text)
        self.revision = result.revision

    def ask(self, index):
        """Ask one instance for its status."""
        return self.stubs[index].Status(
            admin_pb2.StatusRequest(), timeout=TIMEOUT_S
        )

    def await_revision(self):
        """Wait until all have the revision; give the seconds each took."""
        began = time.perf_counter()
        took = [None] * len(self.stubs)

        def poll(index):
            while time.perf_counter() - began < TIMEOUT_S:
                if self.ask(index).revision >= self.revision:
                    took[index] = time.perf_counter() - began
                    return
                time.sleep(POLL_S)

        threads = [
            threading.Thread(target=poll, args=(index,))
            for index in range(len(self.stubs))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if None in took:
            raise RuntimeError(f'not in force everywhere: {took}')
        return took

    def set_down(self, down):
        """Let the platform fail, its watches too, or come back."""
        self.control.SetFaults(platform_pb2.Faults(down=down))
        if down:
            self.control.KillWatches(platform_pb2.KillRequest())

    def count_platform(self):
        """Read the platform's counters."""
        return self.control.Counts(platform_pb2.CountsRequest())

    def read_usage(self):
        """Read (processor s, resident bytes, UDP bytes, TCP bytes) each."""
        tcp = read_tcp()
        usage = []
        for index, proc in enumerate(self.entries):
            counters = self.ask(index).counters
            udp = sum(
                counters[f'peer_{way}_bytes']
                + counters[f'peer_{way}'] * UDP_HEAD
                for way in ('sent', 'received')
            )
            usage.append(
                (
                    proc.read_cpu_s(),
                    proc.read_memory(),
                    udp,
                    tcp.get(proc.popen.pid, 0),
                )
            )
        return usage


def read_tcp():
    """Read bytes with headers of all live TCP connections, by process."""
    done = subprocess.run(
        ['ss', '-tinpH'], capture_output=True, text=True, check=True
    )
    found = {}
    pid = None
    for line in done.stdout.splitlines():
        match = re.search(r'pid=(\d+)', line)
        if match:
            pid = int(match.group(1))
            continue
        numbers = dict(re.findall(r'(\w+):(\d+)', line))
        size = sum(
            int(numbers.get(name, 0))
            for name in ('bytes_sent', 'bytes_received')
        )
        size += TCP_HEAD * sum(
            int(numbers.get(name, 0)) for name in ('segs_out', 'segs_in')
        )
        found[pid] = found.get(pid, 0) + size
    return found


def run_idle(size):
    """Measure one fleet without callers and print the figures."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(stack, folder, size)
        wait_for(
            lambda: all(
                len(fleet.ask(index).peers) == size - 1 for index in range(size)
            ),
            TIMEOUT_S,
            'all peers known',
        )
        time.sleep(SETTLE_S)
        began = time.monotonic()
        before, calls = fleet.read_usage(), fleet.count_platform()
        time.sleep(MEASURE_S)
        after, later = fleet.read_usage(), fleet.count_platform()
        passed = time.monotonic() - began
        cpu, udp, tcp = (
            [(b[at] - a[at]) / passed for a, b in zip(before, after)]
            for at in (0, 2, 3)
        )
        # Printed before the processes are ended: each one's planned stop
        # takes some seconds.
        result = {
            'entries': size,
            'seconds': round(passed, 1),
            'cpu_percent_mean': round(100 * statistics.mean(cpu), 3),
            'cpu_percent_max': round(100 * max(cpu), 3),
            'rss_mb_mean': round(
                statistics.mean(item[1] for item in after) / 1e6, 1
            ),
            'rss_mb_max': round(max(item[1] for item in after) / 1e6, 1),
            'udp_bytes_s_mean': round(statistics.mean(udp)),
            'udp_bytes_s_max': round(max(udp)),
            'tcp_bytes_s_mean': round(statistics.mean(tcp)),
            'tcp_bytes_s_max': round(max(tcp)),
            'platform_reads_s': round((later.reads - calls.reads) / passed, 2),
            'platform_writes_s': round(
                (later.writes - calls.writes) / passed, 2
            ),
            'platform_watches_opened_s': round(
                (later.watches - calls.watches) / passed, 2
            ),
        }
        print(json.dumps(result), flush=True)


def run_force(changes, size, down_s):
    """Measure the time until changes are in force everywhere."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(stack, folder, size)
        time.sleep(2)
        took = []
        for number in range(changes):
            if down_s and number == changes // 2:
                fleet.set_down(True)
                time.sleep(down_s)
                fleet.set_down(False)
            fleet.publish()
            took.append(max(fleet.await_revision()))
            time.sleep(GAP_S)
        ranked = sorted(took)
        return {
            'entries': size,
            'changes': changes,
            'down_s': down_s,
            'p50_s': round(statistics.median(took), 4),
            'p99_s': round(ranked[int(0.99 * len(ranked)) - 1], 4),
            'max_s': round(ranked[-1], 4),
            'first_after_outage_s': round(took[changes // 2], 4)
            if down_s
            else None,
        }


def main():
    """Run what the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest='command', required=True)
    idle = commands.add_parser('idle')
    idle.add_argument('sizes', type=int, nargs='+')
    force = commands.add_parser('force')
    force.add_argument('changes', type=int)
    force.add_argument('--entries', type=int, default=6)
    force.add_argument('--down-s', type=float, default=0)
    args = parser.parse_args()
    # Told to end, it must end the processes that it started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    if args.command == 'idle':
        for size in args.sizes:
            run_idle(size)
    else:
        result = run_force(args.changes, args.entries, args.down_s)
        print(json.dumps(result), flush=True)


if __name__ == '__main__':
    main()
