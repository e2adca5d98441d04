"""Measure checking, publishing and adopting a configuration by its size.

Run `python -m bench.cfg_size`; it prints one line of JSON a size.  The
stand-in platform is in the same process and reached over gRPC, so that the
figures include the codec and the network stack of one machine.
"""

import dataclasses
import json
import statistics
import tempfile
import time
from pathlib import Path

from cornelgap.cfg import audit, document, publishing
from cornelgap.cfg.folder import load_folder
from cornelgap.cfg.store import PlatformStore
from standins.platform import start_platform

# Services with two targets each, in files of 100 services, twice layered.
_SIZES = (250, 500, 1000, 2300)
_SERVICES_A_FILE = 100
_REPEATS = 5
_CHANGES = 200
_DAY_CHANGES = 1600


def write_folder(folder, services):
    """Write a folder of services, with local overrides for every tenth."""
    for start in range(0, services, _SERVICES_A_FILE):
        end = min(start + _SERVICES_A_FILE, services)
        text = ''.join(map(_format_service, range(start, end)))
        (folder / f'10-{start:05}.ini').write_text(text)
        local = ''.join(
            f'[service s{number}]\ntoken_s = 300\n'
            for number in range(start, end, 10)
        )
        (folder / f'20-{start:05}.ini').write_text(local)


def _format_service(number):
    high, low = divmod(number, 250)
    targets = ''.join(
        f'[target t{number}-{item}]\nservice = s{number}\n'
        f'address = 10.{item + 1}.{high}.{low}:7000\nzone = zone-{item}\n'
        'slots = 3\nconns = 2000\n'
        for item in range(2)
    )
    return (
        f'[service s{number}]\naddress = 10.0.{high}.{low}:9000\n'
        f'queue_limit = 64\ndeadline_ms = 30000\n{targets}'
    )


def time_call(call):
    """Time a call over the repeats; return its last result and ms."""
    times = []
    for _ in range(_REPEATS):
        start = time.perf_counter()
        result = call()
        times.append((time.perf_counter() - start) * 1000)
    return result, {
        'median_ms': round(statistics.median(times), 1),
        'max_ms': round(max(times), 1),
    }


def measure_size(services):
    """Measure one size and return the figures by name."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_folder(folder, services)
        (cfg, findings, _), check = time_call(lambda: load_folder(folder))
    assert not findings, findings[:3]
    server, port, state = start_platform()
    store = PlatformStore.from_address(f'127.0.0.1:{port}', timeout_s=30)
    try:
        figures = _measure_platform(store, state, cfg)
    finally:
        store.close()
        server.stop(0).wait()
    return {'services': services, 'targets': 2 * services, 'check': check} | (
        figures
    )


def _measure_platform(store, state, cfg):
    start = time.perf_counter()
    done = publishing.publish(store, cfg, 'bench', 'first', 'w0')
    first_ms = (time.perf_counter() - start) * 1000
    assert done.accepted, done
    (_, bundle, _), cold = time_call(lambda: publishing.read_current(store))
    _, warm = time_call(lambda: publishing.read_current(store, bundle))
    _, decode = time_call(lambda: document.decode_bundle(bundle))
    before = state.count_calls()
    bundle, trimmed, times = _make_changes(store, cfg, bundle)
    after = state.count_calls()
    _, root = publishing.read_root(store)
    (count, findings), verify = time_call(
        lambda: audit.verify_trail(store, root)
    )
    assert not findings and count == _CHANGES + 1
    written = after.bytes_written - before.bytes_written
    return {
        'bundle_bytes': len(bundle),
        'root_bytes': root.ByteSize(),
        'first_publish_ms': round(first_ms, 1),
        'read_all': cold,
        'read_known': warm,
        'decode': decode,
        'change_publish_ms': {
            'p50': round(statistics.median(times), 1),
            'p99': round(statistics.quantiles(times, n=100)[98], 1),
        },
        'trimmed_bundle_bytes': round(statistics.mean(trimmed)),
        'bytes_written_a_change': round(written / _CHANGES),
        'audit_bytes_a_change': round(_count_audit(state) / _CHANGES),
        'audit_mb_a_day': round(
            _count_audit(state) / _CHANGES * _DAY_CHANGES / 1e6, 2
        ),
        'verify_201': verify,
    }


def _make_changes(store, cfg, bundle):
    times = []
    trimmed = []
    for number in range(_CHANGES):
        name = f's{number % len(cfg.services)}'
        changed = dataclasses.replace(
            cfg.services[name], queue_limit=100 + number
        )
        cfg = dataclasses.replace(cfg, services=cfg.services | {name: changed})
        start = time.perf_counter()
        done = publishing.publish(
            store, cfg, 'bench', 'a change', f'w{number + 1}'
        )
        times.append((time.perf_counter() - start) * 1000)
        assert done.accepted, done
        _, newer, _ = publishing.read_current(store, bundle)
        known = document.list_parts(bundle)
        trimmed.append(len(document.trim_bundle(newer, known)))
        bundle = newer
    return bundle, trimmed, times


def _count_audit(state):
    """Count bytes of sealed segments; changes lists are the first change's."""
    return sum(
        len(value)
        for name, (_, value) in state._objects.items()
        if name.startswith(audit.SEGMENT_PREFIX)
    )


def main():
    """Measure every size."""
    for services in _SIZES:
        print(json.dumps(measure_size(services)), flush=True)


if __name__ == '__main__':
    main()
