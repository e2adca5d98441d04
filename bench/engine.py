"""Speed and memory of one entry instance's flow engine, without sockets.

Run: python -m bench.engine [mint] [token] [memory] [opens] [relay] [request] [flows]
Figures are medians of five rounds in one process, one thread.
"""

import gc
import os
import random
import statistics
import sys
import time
import tracemalloc

from cornelgap.core import messages as msg
from cornelgap.core.calls import CallEnded, PieceArrived, StartRun
from cornelgap.core.control import Instance
from cornelgap.core.settings import Cfg, KeyCfg, ServiceCfg, TargetCfg
from cornelgap.core.token import mint_token, verify_token
from cornelgap.core.verdicts import RunState
from cornelgap.decisions.ends import CallEnd
from cornelgap.entry.engine import Engine
from cornelgap.wire.caller_codec import decode_datagram, encode_message

ROUNDS = 5
TURNS = 25
SAMPLE = 3000
ADDRESS = ('127.0.0.1', 40000)


def build_cfg():
    """Build a configuration with Amman's search service."""
    targets = {
        f's{at}': TargetCfg(
            f's{at}', f'127.0.0.1:{9000 + at}', f'z{at % 3}', conns=10**6
        )
        for at in range(7)
    }
    service = ServiceCfg('search', targets=targets, token_s=3600)
    return Cfg(1, {'search': service}, {1: KeyCfg(1, b'k' * 32)})


def build_engines(names=('e1', 'e2')):
    """Build engines that know one another."""
    listed = [
        Instance(
            name=name, zone='z0', address=f'{name}:1', api='', leaving=False
        )
        for name in names
    ]
    engines = {}
    for name in names:
        engine = Engine.from_settings(
            name, 'z0', len(engines) + 5, random.Random(1)
        )
        engine.adopt_cfg(0, build_cfg())
        engine.note_instances(0, listed, ())
        engines[name] = engine
    return engines


def measure(name, count, work):
    """Run work five times and print its median rate."""
    rates = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        work(count)
        rates.append(count / (time.perf_counter() - started))
    rate = statistics.median(rates)
    print(f'{name}: {rate:,.0f}/s, {1e6 / rate:.1f} us each')
    return rate


def run_opens():
    """OPEN to OPENED."""
    engine = build_engines()['e1']
    data = encode_message(msg.Open('search', 9))

    def work(count):
        for at in range(count):
            engine.handle_caller(1 + at * 1e-4, data, ADDRESS)

    return measure('opens', 20000, work)


def open_flow(engine, now=1.0):
    """Open one flow and give its OPENED."""
    effects = engine.handle_caller(
        now, encode_message(msg.Open('search', 9)), ADDRESS
    )
    return decode_datagram(effects[0].datagram)


def run_token():
    """Verify a token."""
    engine = build_engines()['e1']
    token = open_flow(engine).token
    keys = engine.state.cfg.keys

    def work(count):
        for _ in range(count):
            verify_token(keys, token)

    return measure('token verify', 50000, work)


def run_relay():
    """A caller's datagram relayed to the home, sender's side."""
    engines = build_engines()
    opened = open_flow(engines['e1'])
    data = encode_message(msg.Ack('search', opened.token, 1, 5))

    def work(count):
        for _ in range(count):
            engines['e2'].handle_caller(1.0, data, ADDRESS)

    return measure('relayed', 20000, work)


def run_request():
    """A whole request at the home with a small answer, target instant."""
    engine = build_engines()['e1']
    opened = open_flow(engine)
    clock = [1.0]
    number = [0]

    def work(count):
        for _ in range(count):
            number[0] += 1
            clock[0] += 1e-3
            req = msg.Request(
                'search', opened.token, number[0], b'x' * 100, deadline_ms=1000
            )
            effects = engine.handle_caller(
                clock[0], encode_message(req), ADDRESS
            )
            call = next(it for it in effects if isinstance(it, StartRun))
            engine.handle_events(
                clock[0],
                [
                    PieceArrived(call.call_id, 0, b'y' * 200, last=True),
                    CallEnded(call.call_id, CallEnd.OK, RunState.DONE),
                ],
            )
            ack = msg.Ack('search', opened.token, number[0], 1)
            engine.handle_caller(clock[0], encode_message(ack), ADDRESS)

    return measure('requests', 5000, work)


def read_rss():
    """Read this process's resident memory in bytes."""
    with open('/proc/self/statm') as source:
        return int(source.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


def hold_flows(held):
    """Hold flows that were opened at 5,000 a second.

    :returns: (engine, time, 3,000 of their tokens).
    """
    engine = build_engines()['e1']
    tokens = []
    now = 1.0
    for at in range(held):
        now += 2e-4
        if at % 100 == 0:
            engine.tick(now)
        host = f'10.{at >> 16}.{at >> 8 & 255}.{at & 255}'
        address = (host, 1024 + at % 60000)
        data = encode_message(msg.Open('search', 9))
        effects = engine.handle_caller(now, data, address)
        token = decode_datagram(effects[0].datagram).token
        data = encode_message(msg.Cancel('search', token, 1))
        engine.handle_caller(now, data, address)
        if at % (held // SAMPLE) == 0:
            tokens.append(token)
    for _ in range(400):
        engine.tick(now + 40)
    return engine, now + 41, tokens


def run_memory():
    """Bytes for each held flow, by the allocator's own count."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = 60000
    engine, _, tokens = hold_flows(held)
    tokens.clear()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(
        f'memory: {used / len(engine.state.flows):.0f} bytes a flow, {held} flows held'
    )


def run_flows():
    """Speed at 300,000 flows against 3,000, in rounds that take turns."""
    sides = {}
    for held in (SAMPLE, 300000):
        gc.collect()
        before = read_rss()
        engine, now, tokens = hold_flows(held)
        gc.collect()
        used = (read_rss() - before) / held
        print(f'held {held}: {used:.0f} bytes a flow resident')
        datagrams = [
            encode_message(msg.OutcomeQuery('search', it, 2)) for it in tokens
        ]
        sides[held] = (engine, now, datagrams)
    gc.freeze()
    times = {held: [] for held in sides}
    for _ in range(TURNS):
        for held, (engine, now, datagrams) in sides.items():
            started = time.perf_counter()
            for data in datagrams:
                engine.handle_caller(now, data, ADDRESS)
            times[held].append(time.perf_counter() - started)
    few, many = (statistics.median(taken) for taken in times.values())
    print(
        f'outcome query: {few / SAMPLE * 1e6:.1f} us at 3,000 flows, {many / SAMPLE * 1e6:.1f} us at 300,000: ratio {many / few:.2f}'
    )


def run_mint():
    """Mint a token."""
    engine = build_engines()['e1']
    token = verify_token(engine.state.cfg.keys, open_flow(engine).token)
    key = engine.state.cfg.keys[1]

    def work(count):
        for _ in range(count):
            mint_token(key, token)

    return measure('token mint', 50000, work)


_RUNS = {
    'mint': run_mint,
    'token': run_token,
    'memory': run_memory,
    'opens': run_opens,
    'relay': run_relay,
    'request': run_request,
    'flows': run_flows,
}


def main():
    """Run the chosen measurements, or all."""
    for name in sys.argv[1:] or _RUNS:
        _RUNS[name]()


if __name__ == '__main__':
    main()
