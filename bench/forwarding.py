"""Speed and memory of forwarding: ``python -m bench.forwarding``.

A bare echo and the packet path run in the same process, one after the
other, several rounds each, so that their ratio does not depend on what
else the machine does.  Times are processor times.
"""

import gc
import random
import socket
import statistics
import time
import tracemalloc

from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.directory_view import Route
from cornelgap.forwarding.engine import Engine
from cornelgap.forwarding.packets import Forward
from cornelgap.forwarding.stamps import ConfigStamp, Stamp
from cornelgap.platform import layout
from features.proofs.forwarding_desk import ADDRESS, make_target

ROUNDS = 5
PACKETS = 20000
SIZES = ((150, 115), (150, 1400), (4600, 1400))
FLOWS_OPEN = 2000
FLOWS = (1000, 10000, 60000)
DATA = b'x' * 200


def build_engine(targets, routes):
    """Build an engine that knows so many targets and routes."""
    directory = Directory()
    directory.adopt_routes(
        [
            Route(f'r{port}', ADDRESS, port, (('search', 1),))
            for port in range(1, routes + 1)
        ],
        ConfigStamp(1),
        0,
    )
    listed = {
        target.name: (target, 1)
        for target in (make_target(number) for number in range(1, targets + 1))
    }
    directory.adopt_targets(listed, Stamp(revision=1), 0, 0)
    engine = Engine('a', random.Random(1))
    engine.adopt_view(directory.make_view(0))
    engine.note_directory_fresh(0)
    return engine


def make_raw(flow, flags, cookie, size=len(DATA), turn=0):
    """Make a packet of one of many flows; each turn is a new request."""
    data = DATA[:size]
    return (
        layout.HEAD.pack(
            1,
            1000 + flow // 50000,
            ADDRESS,
            1024 + flow % 50000,
            flags,
            cookie,
            1000 + turn * size,
            turn,
            len(data),
            0,
        )
        + data
    )


def open_flows(engine, count):
    """Open flows, each on a target of the engine's choice."""
    targets = []
    for flow in range(count):
        packet = layout.decode_packet(make_raw(flow, layout.WIRE_SYN, 0, 0))
        targets.append(engine.handle(packet, 1).target)
    return [
        make_raw(flow, layout.WIRE_ACK, target.cookie, turn=turn)
        for turn in range(1, PACKETS // count + 1)
        for flow, target in enumerate(targets)
    ]


def carry(engine, raws):
    """Carry packets over a socket pair of loopback; seconds a packet."""
    near, far = _make_sockets()
    address = far.getsockname()
    began = time.process_time()
    own = near.getsockname()
    for raw in raws:
        near.sendto(raw, own)
        packet = layout.decode_packet(near.recv(2048))
        effect = engine.handle(packet, 1)
        if isinstance(effect, Forward):
            datagram = layout.encode_forward(
                packet, effect.target, effect.cookie
            )
            near.sendto(datagram, address)
        far.recv(2048)
    spent = time.process_time() - began
    near.close()
    far.close()
    return spent / PACKETS


def echo(raws):
    """Do the same without reading or changing anything."""
    near, far = _make_sockets()
    address = far.getsockname()
    began = time.process_time()
    own = near.getsockname()
    for raw in raws:
        near.sendto(raw, own)
        near.sendto(near.recv(2048), address)
        far.recv(2048)
    spent = time.process_time() - began
    near.close()
    far.close()
    return spent / PACKETS


def measure_memory(count):
    """Return bytes a flow that the flow table takes."""
    engine = build_engine(150, 115)
    gc.collect()
    tracemalloc.start()
    for flow in range(count):
        raw = make_raw(flow, layout.WIRE_SYN, 0, 0)
        engine.handle(layout.decode_packet(raw), 1)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / count


def main():
    """Print one line a size."""
    base = None
    for targets, routes in SIZES:
        engine = build_engine(targets, routes)
        raws = open_flows(engine, FLOWS_OPEN)
        pairs = [(carry(engine, raws), echo(raws)) for _ in range(ROUNDS)]
        path = statistics.median(pair[0] for pair in pairs)
        bare = statistics.median(pair[1] for pair in pairs)
        base = base or path
        print(
            f'{targets} targets, {routes} routes: {path * 1e6:.1f} us a packet'
            f' ({1 / path:,.0f}/s), bare echo {bare * 1e6:.1f} us,'
            f' ratio {path / bare:.2f}, to the first size {path / base:.2f}'
        )
    for count in FLOWS:
        print(f'{count} flows: {measure_memory(count):.0f} bytes a flow')


def _make_sockets():
    socks = []
    for _ in range(2):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(('127.0.0.1', 0))
        sock.settimeout(5)
        socks.append(sock)
    return socks


if __name__ == '__main__':
    main()
