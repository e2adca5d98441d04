"""Speed of entry instances as processes, over real sockets on loopback.

Run: ``python -m bench.wire opens|relay|requests|hold|hop``.  Each prints
what it measured; docs/MEASUREMENTS.md keeps the figures of a run.
"""

import contextlib
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path

import cyclopts
import grpc

from bench.deployments import (
    Deployment,
    DeploymentPlan,
    ServicePlan,
    make_files,
)
from bench.flood import Flood
from bench.procs import Proc
from cornelgap.call import events as ev
from cornelgap.call.client import CallerClient
from cornelgap.call.main import parse_address
from cornelgap.call.report import pick_percentiles
from cornelgap.core import messages as msg
from cornelgap.wire import caller_pb2 as pb
from cornelgap.wire import target_pb2, target_pb2_grpc
from cornelgap.wire.caller_codec import decode_datagram, encode_message

ROUNDS = 5
TOKEN_S = 3600
CONNS = 1000000
"""Flows that a target of the bench can hold: with the 2,000 of a real one,
six thousand opens would fill three targets and the rest be refused."""

app = cyclopts.App(help=__doc__)


@contextlib.contextmanager
def start_deployment(entries, targets=3, slots=50):
    """Start entries with one service ``search``; give the deployment."""
    plan = DeploymentPlan(
        'bench',
        1,
        entries,
        (ServicePlan('search', targets, slots, token_s=TOKEN_S, conns=CONNS),),
    )
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(
            tempfile.TemporaryDirectory(prefix='cornelgap-bench-')
        )
        files = Path(folder) / 'files'
        make_files(files)
        deployment = Deployment(plan, Path(folder), files)
        deployment.start(stack, [], queue_limit=200)
        yield deployment


def list_entries(deployment):
    """List (process, public address) of the entry instances."""
    return [
        (proc, parse_address(proc.greeting['public']))
        for proc in deployment.entries.values()
    ]


def print_rate(name, rates, unit='/s'):
    """Print the median of rates and their range."""
    print(
        f'{name}: {statistics.median(rates):,.0f}{unit} '
        f'(median of {len(rates)}, {min(rates):,.0f} to {max(rates):,.0f})'
    )


def make_opens(count, first=1):
    """Make OPEN datagrams with rising nonces."""
    for nonce in range(first, first + count):
        yield encode_message(msg.Open('search', nonce))


def open_flows(address, count):
    """Open flows at one entry instance.

    :returns: tokens, and (answers, seconds).
    """
    tokens = []

    def take(data):
        message = decode_datagram(data)
        if isinstance(message, msg.Opened):
            tokens.append(message.token)

    flood = Flood(address)
    result = flood.run(make_opens(count), take)
    flood.close()
    return tokens, result


@app.command
def opens(count: int = 20000):
    """Opens a second at one entry instance."""
    with start_deployment(1) as deployment:
        proc, address = list_entries(deployment)[0]
        datagrams = list(make_opens(count))
        rates, costs = [], []
        for _ in range(ROUNDS):
            flood = Flood(address)
            cpu = proc.read_cpu_s()
            answers, seconds = flood.run(datagrams)
            costs.append((proc.read_cpu_s() - cpu) / answers * 1e6)
            rates.append(flood.kinds[pb.OPENED] / seconds)
            flood.close()
            print(f'  round: {flood.describe()}')
    print_rate('opens', rates)
    print_rate('processor time of the entry for each', costs, ' us')


@app.command
def relay(count: int = 20000):
    """Datagrams relayed a second from one entry instance to the home."""
    with start_deployment(2) as deployment:
        (_, home), (other, away) = list_entries(deployment)
        tokens, _ = open_flows(home, 1000)
        datagrams = [
            encode_message(
                msg.OutcomeQuery('search', tokens[at % len(tokens)], 9)
            )
            for at in range(count)
        ]
        for name, address in (('at home', home), ('relayed', away)):
            rates, costs = [], []
            for _ in range(ROUNDS):
                flood = Flood(address)
                cpu = other.read_cpu_s()
                answers, seconds = flood.run(datagrams)
                costs.append((other.read_cpu_s() - cpu) / answers * 1e6)
                rates.append(answers / seconds)
                flood.close()
                print(f'  round: {flood.describe()}')
            print_rate(f'outcome queries {name}', rates)
            print_rate('  processor time of the other entry', costs, ' us')


@app.command
def requests(
    seconds: float = 10, callers: int = 3, flows: int = 20, targets: int = 4
):
    """Requests a second through one entry instance to targets and back."""
    with start_deployment(1, targets) as deployment:
        proc, address = list_entries(deployment)[0]
        cpu = proc.read_cpu_s()
        procs = [
            Proc(
                f'call-{index}',
                [
                    *['cornelgap.call.main', 'load', '--service', 'search'],
                    *['--flows', str(flows), '--seconds', str(seconds)],
                    *['--requests', 'echo {n}', '--think-s', '0'],
                    *['--to', f'{address[0]}:{address[1]}'],
                ],
                deployment.folder,
                greets=False,
            )
            for index in range(callers)
        ]
        results = [json.loads(p.read_rest(seconds + 60)[1]) for p in procs]
        cpu = proc.read_cpu_s() - cpu
    total = sum(result['requests'] for result in results)
    rate = sum(result['requests_per_s'] for result in results)
    print(f'requests: {rate:,.0f}/s with {callers * flows} flows')
    print(f'  processor time of the entry: {cpu / total * 1e6:,.0f} us each')
    for result in results:
        print(f'  {result["verdicts"]} {result["answer_ms"]}')


@app.command
def hold(
    few: int = 3000, many: int = 300000, count: int = 20000, mark: bool = True
):
    """Memory of many flows held, and the speed with many against few.

    :param mark: let each flow have had one ended request; without it the
        flows are only held.
    """
    medians = {}
    for held in (few, many):
        with start_deployment(1) as deployment:
            medians[held] = _hold_flows(deployment, held, count, mark)
    print(f'speed with {few} over {many}: {medians[few] / medians[many]:.2f}')


def _hold_flows(deployment, held, count, mark):
    proc, address = list_entries(deployment)[0]
    before = proc.read_memory()
    tokens, (_, seconds) = open_flows(address, held)
    print(f'opened {len(tokens)} in {seconds:.1f} s')
    flood = Flood(address)
    # A cancelled number marks the flow's window, as a request would; a
    # question only makes the home hold the flow.
    touch = msg.Cancel if mark else msg.OutcomeQuery
    flood.run(encode_message(touch('search', token, 1)) for token in tokens)
    # Ended requests are kept for 30 s; what stays after is the flow.
    time.sleep(40 if mark else 2)
    used = proc.read_memory() - before
    print(
        f'{len(tokens)} flows held: {used / len(tokens):,.0f} bytes each '
        f'(resident, all of the growth of the process), {flood.lost} lost'
    )
    step = max(1, len(tokens) // 3000)
    datagrams = [
        encode_message(msg.OutcomeQuery('search', token, 9))
        for token in tokens[::step]
    ]
    rates = []
    for _ in range(ROUNDS):
        answers, seconds = flood.run(
            datagrams[at % len(datagrams)] for at in range(count)
        )
        rates.append(answers / seconds)
    flood.close()
    print_rate(f'outcome queries with {len(tokens)} flows', rates)
    return statistics.median(rates)


@app.command
def hop(count: int = 2000):
    """Time of a request: straight to the target, by its home, by a hop."""
    with start_deployment(2, targets=1) as deployment:
        (_, home), (_, away) = list_entries(deployment)
        name, (_, proc) = next(iter(deployment.targets.items()))
        channel = grpc.insecure_channel(proc.greeting['address'])
        ask_target = _make_direct(name, channel)
        at_home = _make_call([home], home)
        by_hop = _make_call([away], home)
        samples = {'direct': [], 'at home': [], 'by a hop': []}
        for _ in range(count):
            # In turn, so that a disturbance of the machine meets all three.
            samples['direct'].append(_time_ms(ask_target))
            samples['at home'].append(_time_ms(at_home))
            samples['by a hop'].append(_time_ms(by_hop))
        channel.close()
    found = {name: pick_percentiles(all_) for name, all_ in samples.items()}
    for name, percentiles in found.items():
        print(f'{name}: p50 {percentiles["p50"]} ms, p99 {percentiles["p99"]}')
    for name in ('at home', 'by a hop'):
        ratios = [
            f'{share} {found[name][share] / found["direct"][share]:.2f}'
            for share in ('p50', 'p99')
        ]
        print(f'{name} over direct: {", ".join(ratios)}')
    added = {
        share: round(found['by a hop'][share] - found['at home'][share], 3)
        for share in ('p50', 'p99')
    }
    print(f'added by the hop, in ms: {added}')


def _time_ms(func):
    started = time.perf_counter()
    func()
    return (time.perf_counter() - started) * 1000


def _make_direct(name, channel):
    stub = target_pb2_grpc.TargetStub(channel)
    request = target_pb2.RunRequest(
        service='search', target=name, payload=b'echo x'
    )

    def ask():
        for _ in stub.Run(request):
            continue

    return ask


def _make_call(addresses, home):
    """Make a function that sends one request and waits for its answer.

    The flow is opened at its home; then its datagrams go elsewhere.
    """
    client = CallerClient([home])
    flow = client.open_flow('search')
    while not flow.is_open():
        client.poll(0.1)
    client._addresses[:] = addresses

    def ask():
        flow.start_request(time.monotonic(), b'echo x', 10, idempotent=True)
        client.schedule(flow)
        while True:
            for item in client.poll(1):
                if isinstance(item.event, ev.RequestEnded):
                    return

    return ask


if __name__ == '__main__':
    sys.exit(app())
