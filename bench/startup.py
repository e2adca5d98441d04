"""Processor time of a start, beside that of a bare interpreter.

``python -m bench.startup``: 15 starts of each, as a program without site
packages of its own.  Printed are the least and the median of user and
system time in milliseconds, and how many times a bare start each is.
"""

import resource
import statistics
import subprocess
import sys
from pathlib import Path

STARTS = 15
CASES = (
    ('bare interpreter', 'pass'),
    ('what opens the socket', 'import cornelgap.platform.role'),
    ('the whole program', 'import cornelgap.platform.node'),
)
_ROOT = str(Path(__file__).resolve().parent.parent)
_PATHS = (_ROOT, *(path for path in sys.path if 'site-packages' in path))


def measure_start(code):
    """Return the processor time of one start in milliseconds."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, '-S', '-P', '-c', code],
        env={'PYTHONPATH': ':'.join(_PATHS)},
        check=True,
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user = after.ru_utime - before.ru_utime
    return (user + after.ru_stime - before.ru_stime) * 1000


def main():
    """Print a table."""
    print('| start | least ms | median ms | times a bare one |')
    print('| --- | --- | --- | --- |')
    bare = None
    for name, code in CASES:
        measure_start(code)
        found = [measure_start(code) for _ in range(STARTS)]
        bare = bare or min(found)
        times = min(found) / bare
        print(
            f'| {name} | {min(found):.0f} | {statistics.median(found):.0f}'
            f' | {times:.1f} |'
        )


if __name__ == '__main__':
    main()
