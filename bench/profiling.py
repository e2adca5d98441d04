"""Profile of the packet path: where one datagram's time goes.

Run: ``python -m bench.profiling [opens] [relay] [request]``.  It profiles
the measurements of :mod:`bench.engine` and prints the functions with the
most time of their own.  The profiler slows small functions down, so only
shares are read off it, never rates.
"""

import cProfile
import pstats
import sys

from bench import engine

TOP = 14
_RUNS = {
    'opens': engine.run_opens,
    'relay': engine.run_relay,
    'request': engine.run_request,
}


def main():
    """Profile the chosen measurements, or all."""
    for name in sys.argv[1:] or _RUNS:
        profile = cProfile.Profile()
        profile.runcall(_RUNS[name])
        stats = pstats.Stats(profile)
        print(f'== {name}: own time by function')
        stats.sort_stats('tottime').print_stats(TOP)


if __name__ == '__main__':
    main()
