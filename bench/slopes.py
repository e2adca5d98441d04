"""Slopes of what one entry instance costs, for docs/CAPACITY.md.

Run: python -m bench.slopes [NAME ...] prints one JSON object a slope: its
points, the straight line through them by least squares, the standard error
of its incline and R squared.

Run: python -m bench.slopes --fit FILE X Y does the same with two fields of
JSON lines that another bench command has written.

Everything runs in one process and one thread; times are processor times,
medians of three rounds.
"""

import argparse
import gc
import json
import random
import statistics
import time
import tracemalloc

import numpy as np

from bench.engine import build_engines, open_flow, read_rss
from cornelgap.core import messages as msg
from cornelgap.core.control import Instance
from cornelgap.core.settings import Cfg, KeyCfg, ServiceCfg, TargetCfg
from cornelgap.core.stamps import Stamp
from cornelgap.decisions.membership import Membership
from cornelgap.entry.engine import Engine
from cornelgap.entry.views import read_status, read_view
from cornelgap.wire.caller_codec import encode_message

ROUNDS = 3
TICK_S = 0.02
FLOWS = (3000, 9000, 30000, 100000, 300000)
PEERS = (5, 95, 345, 689)
SERVICES = (250, 500, 1000, 2300)
OPENS = (2000, 5000, 10000, 20000)
SIM_S = 20


def fit_line(xs, ys):
    """Fit y = base + incline x.

    :returns: dictionary of base, incline, its standard error, R squared.
    """
    x, y = np.array(xs, float), np.array(ys, float)
    incline, base = np.polyfit(x, y, 1)
    rest = y - (base + incline * x)
    spread = ((x - x.mean()) ** 2).sum()
    error = np.sqrt((rest**2).sum() / max(1, len(x) - 2) / spread)
    total = ((y - y.mean()) ** 2).sum()
    return {
        'base': float(f'{base:.4g}'),
        'incline': float(f'{incline:.4g}'),
        'error': float(f'{error:.2g}'),
        'r2': round(float(1 - (rest**2).sum() / total), 4) if total else 1,
    }


def time_cpu(work):
    """Give the median processor time of some rounds in seconds."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        work()
        times.append(time.process_time() - began)
    return statistics.median(times)


def hold_flows(engine, count):
    """Let an engine hold flows that have each had one request."""
    now = 1.0
    for at in range(count):
        now += 2e-4
        if at % 100 == 0:
            engine.tick(now)
        address = (f'10.{at >> 16}.{at >> 8 & 255}.{at & 255}', 1024)
        opened = open_flow(engine, now)
        cancel = encode_message(msg.Cancel('search', opened.token, 1))
        engine.handle_caller(now, cancel, address)
    for _ in range(400):
        engine.tick(now + 40)
    return now + 40


def slope_flow_bytes():
    """Resident bytes by flows held."""
    points = []
    for count in FLOWS:
        engine = build_engines()['e1']
        gc.collect()
        before = read_rss()
        hold_flows(engine, count)
        gc.collect()
        points.append((count, read_rss() - before))
        del engine
        gc.collect()
    return points


def slope_flow_ticks():
    """Processor seconds a second of ticking by flows held."""
    points = []
    for count in FLOWS:
        engine = build_engines()['e1']
        clock = [hold_flows(engine, count)]

        def work():
            for _ in range(500):
                clock[0] += TICK_S
                engine.tick(clock[0])

        points.append((count, time_cpu(work) / (500 * TICK_S)))
    return points


def slope_opens():
    """Processor seconds by opens, codec and engine, without the socket."""
    engine = build_engines()['e1']
    data = encode_message(msg.Open('search', 9))
    points = []
    for count in OPENS:

        def work():
            for at in range(count):
                engine.handle_caller(1 + at * 1e-4, data, ('127.0.0.1', 4000))

        points.append((count, time_cpu(work)))
    return points


def slope_membership():
    """Processor seconds a second of the membership's part by peers."""
    points = []
    for count in PEERS:
        members = Membership.from_settings('e0', 'z0', random.Random(1))
        listed = [
            Instance(f'e{i + 1}', f'z{i % 4}', f'10.0.0.1:{i + 1}', 'api')
            for i in range(count)
        ]

        clock = [0.0]
        stamp = Stamp(1, 3)

        def work():
            members.update_from_list(clock[0], listed)
            for step in range(int(SIM_S / TICK_S)):
                clock[0] += TICK_S
                now = clock[0]
                for name in members.choose_pings(now):
                    members.record_datagram(now, name, 7, stamp, False, 'api')
                if step % 5 == 0:
                    members.list_newer_peers(stamp)
                    members.has_missing_address()
                if step % 50 == 0:
                    members.list_live_instances(now)

        points.append((count, time_cpu(work) / SIM_S))
    return points


def build_services(count):
    """Build a configuration of many services with two targets each."""
    services = {}
    for at in range(count):
        targets = {
            f't{at}-{item}': TargetCfg(
                f't{at}-{item}', f'10.0.{item}.1:{at + 1}', f'z{item}'
            )
            for item in range(2)
        }
        services[f's{at}'] = ServiceCfg(f's{at}', targets=targets)
    return Cfg(1, services, {1: KeyCfg(1, b'k' * 32)})


def build_service_engine(count):
    """Build an engine that has many services in force."""
    engine = Engine.from_settings('e1', 'z0', 5, random.Random(1))
    engine.adopt_cfg(0, build_services(count))
    return engine


def slope_service_ticks():
    """Processor seconds a second of ticking by services."""
    points = []
    for count in SERVICES:
        engine = build_service_engine(count)
        clock = [1.0]

        def work():
            # Time goes on from round to round, or what is due by time
            # would be due in the first round only.
            for _ in range(200):
                clock[0] += TICK_S
                engine.tick(clock[0])

        points.append((count, time_cpu(work) / (200 * TICK_S)))
    return points


def slope_service_bytes():
    """Allocated bytes by services in force, configuration included."""
    points = []
    for count in SERVICES:
        gc.collect()
        tracemalloc.start()
        engine = build_service_engine(count)
        points.append((count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del engine
    return points


def slope_adoption():
    """Seconds in the packet actor's turn to adopt a change by services."""
    points = []
    for count in SERVICES:
        engine = build_service_engine(count)
        cfg = build_services(count)
        revision = [1]

        def work():
            revision[0] += 1
            engine.adopt_cfg(
                2, Cfg(revision[0], cfg.services, cfg.keys, frozenset())
            )

        points.append((count, time_cpu(work)))
    return points


def slope_status():
    """Seconds in the packet actor's turn to read status by services."""
    points = []
    for count in SERVICES:
        state = build_service_engine(count).state
        points.append((count, time_cpu(lambda: read_status(state, 5, 0))))
    return points


def slope_view():
    """Seconds in the packet actor's turn to read the view by peers."""
    points = []
    for count in PEERS:
        engine = build_engines()['e1']
        listed = [
            Instance(f'p{i}', 'z0', f'10.0.0.1:{i + 1}', 'api')
            for i in range(count)
        ]
        engine.note_instances(0, listed, ())
        state = engine.state
        points.append((count, time_cpu(lambda: read_view(state, 5, True))))
    return points


SLOPES = {
    'flow_bytes': slope_flow_bytes,
    'flow_ticks': slope_flow_ticks,
    'opens': slope_opens,
    'membership': slope_membership,
    'service_ticks': slope_service_ticks,
    'service_bytes': slope_service_bytes,
    'adoption': slope_adoption,
    'status': slope_status,
    'view': slope_view,
}


def print_slope(name, points):
    """Print one slope."""
    xs, ys = zip(*points, strict=True)
    rounded = [(x, float(f'{y:.4g}')) for x, y in points]
    print(
        json.dumps({'slope': name, 'points': rounded, **fit_line(xs, ys)}),
        flush=True,
    )


def main():
    """Run what the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*')
    parser.add_argument('--fit', action='store_true')
    args = parser.parse_args()
    if args.fit:
        path, x, y = args.names
        with open(path) as source:
            items = [json.loads(line) for line in source if line[0] == '{']
        print_slope(f'{y} by {x}', [(item[x], item[y]) for item in items])
        return
    for name in args.names or SLOPES:
        print_slope(name, SLOPES[name]())


if __name__ == '__main__':
    main()
