"""Speed and memory of one entry instance's flow engine, without sockets.

Run: python -m bench.engine [opens] [relay] [request] [flows] [token]
Figures are medians of five rounds in one process, one thread.
"""

import gc
import os
import random
import statistics
import sys
import time

from cornelgap.core import messages as msg
from cornelgap.core.calls import CallEnded, PieceArrived, StartRun
from cornelgap.core.control import Instance
from cornelgap.core.settings import Cfg, KeyCfg, ServiceCfg, TargetCfg
from cornelgap.core.token import verify_token
from cornelgap.core.verdicts import Ran
from cornelgap.decisions.ends import CallEnd
from cornelgap.entry.engine import Engine
from cornelgap.wire.caller_codec import decode_datagram, encode_message

ROUNDS = 5
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
                    CallEnded(call.call_id, CallEnd.OK, Ran.DONE),
                ],
            )
            ack = msg.Ack('search', opened.token, number[0], 1)
            engine.handle_caller(clock[0], encode_message(ack), ADDRESS)

    return measure('requests', 5000, work)


def read_rss():
    """Read this process's resident memory in bytes."""
    with open('/proc/self/statm') as source:
        return int(source.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


def run_flows():
    """Hold 300,000 flows: bytes per flow and speed against 3,000."""
    rates = {}
    for held in (3000, 300000):
        engine = build_engines()['e1']
        gc.collect()
        before = read_rss()
        tokens = []
        now = 1.0
        for at in range(held):
            # Opened at 5,000 a second, as callers would; ended requests are
            # dropped after their time while others come.
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
            if at % (held // 3000) == 0:
                tokens.append(token)
        for _ in range(400):
            engine.tick(now + 40)
        gc.collect()
        used = read_rss() - before
        print(
            f'held {held}: {used / held:.0f} bytes a flow (resident), flows {len(engine.state.flows)}'
        )
        datagrams = [
            encode_message(msg.OutcomeQuery('search', it, 2)) for it in tokens
        ]

        def work(count):
            for at in range(count):
                engine.handle_caller(
                    41.0, datagrams[at % len(datagrams)], ADDRESS
                )

        rates[held] = measure(f'outcome queries at {held} flows', 20000, work)
    print(f'slowdown {rates[3000] / rates[300000]:.2f}')


_RUNS = {
    'token': run_token,
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
