"""Measure what one decision costs: ``python -m bench.decision_costs``."""

import random
import timeit

from cornelgap.decisions.admission import Admission, Job
from cornelgap.decisions.ends import CallEnd
from cornelgap.decisions.placement import Placement
from features.decision_loop.sites import PERTH

COUNT = 5000


def main():
    """Print microseconds of a placed flow and of an admitted request."""
    service = PERTH.build_service()
    placement = Placement.from_cfg(service, 'zone-0', random.Random(1))
    admission = Admission.from_cfg(service, random.Random(1))
    keys = iter(range(10**9))

    def place():
        placement.note_flow(placement.choose_target(1.0), 1)

    def admit():
        key = next(keys)
        job = Job(key, 'caller', 'target-0', False, 3.0, 1.0)
        admission.offer(1.0, job)
        admission.finish(1.0, key, CallEnd.OK, 0.1)

    for name, run in (('flow placed', place), ('request admitted', admit)):
        took = min(timeit.repeat(run, number=COUNT, repeat=3)) / COUNT
        print(f'{name}: {took * 1e6:.1f} us')


if __name__ == '__main__':
    main()
