"""What the scripts about FAILBACK share: backends, traffic and the check."""

import time

from standins_2 import Backend, Clients, World, clock, ip_number, make_route

ZONE = 'a'
WARMUP_S = 2.0
WARMUP_PER_S = 2.0
COLD_OVER = 1.5
COLD_SLACK = 5
MOST = WARMUP_PER_S * COLD_OVER + COLD_SLACK
OPENINGS_PER_S = 60
BOUNDS = {
    'reuse_after_s': 2,
    'contact_ms': 5000,
    'drain_ms': 5000,
    'grace_s': 6,
    'config_apply_ms': 5000,
    'cold_over': COLD_OVER,
    'cold_slack': COLD_SLACK,
    'evacuate_ms': 5000,
    'flow_ms': 2000,
    'flow_max_s': 60,
}


def make_world(folder):
    return World(folder, BOUNDS)


def put_config(world):
    service = {
        'name': 'search',
        'health_path': '/health',
        'max_conns': 2000,
        'warmup_s': WARMUP_S,
        'warmup_per_s': WARMUP_PER_S,
    }
    route = make_route('r-search', '127.0.0.50', 443, 'search')
    world.put_config(1, [route], [service])


def make_backend(world, number, cold_s=0):
    backend = Backend(
        world,
        0xA0000000 + number,
        'search',
        ZONE,
        f'{world.net}.{100 + number}',
        slots=2,
        work_s=0.02,
        cold_s=cold_s,
    )
    world.backends.append(backend)
    backend.register()
    return backend


def start_traffic(world):
    world.clients = Clients(
        world,
        f'{world.net}.2',
        [(ip_number('127.0.0.50'), 443)],
        per_s=OPENINGS_PER_S,
        pause_s=2.0,
        life_s=4.0,
    )
    world.start()
    time.sleep(2)
    world.clients.active = True
    world.record.add(f'traffic starts, {OPENINGS_PER_S} new flows a second')


def release(world, olds):
    """Replace backends: the new one starts first, then the old one drains."""
    news = []
    for position, old in enumerate(olds):
        new = make_backend(world, 11 + position, cold_s=WARMUP_S)
        news.append(new)
        time.sleep(1.0)
        old.state = 'draining'
        old.register()
    return news


def wait_until(at):
    time.sleep(max(0, at - clock()))


def judge(world, news):
    """Say whether FAILBACK held: the exit code of the script."""
    record = world.record
    failed = False
    for backend in news:
        worst = find_worst_second(backend)
        record.add(
            f'backend {backend.name}: {len(worst)} openings within one second'
            f' while cold, allowed {MOST:g}'
        )
        for sent, arrived in worst:
            record.add(
                f'  sent {record.since_start(sent):.3f}'
                f' arrived {record.since_start(arrived):.3f}'
            )
        failed = failed or len(worst) > MOST
    if not world.clients.counts.get('answered'):
        record.add('no request was answered')
        return 2
    record.add('FAILBACK broken' if failed else 'FAILBACK held')
    return 1 if failed else 0


def find_worst_second(backend):
    """Return the openings of the cold second with most of them.

    Counted are openings that were sent and arrived inside that second, and
    that second lies in the time for which the backend is cold.
    """
    worst = []
    openings = [(sent, arrived) for sent, arrived, _ in backend.openings]
    for began, _ in openings:
        ends = min(began + 1, backend.cold_until)
        found = [one for one in openings if one[0] >= began and one[1] < ends]
        if began >= backend.started_at and len(found) > len(worst):
            worst = found
    return worst
