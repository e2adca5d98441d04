"""What becomes of a datagram on the path, by seed."""

from dataclasses import dataclass

NO_COPY = ()
ONE_COPY = (0,)


@dataclass
class Faults:
    """Rates of the faults of a path, each from 0 to 1.

    :param reorder: share that is held back so that others overtake it.
    :param hold_ms: longest time that it is held back.
    """

    loss: float = 0
    duplicate: float = 0
    reorder: float = 0
    hold_ms: float = 10


def pick_fate(rng, faults):
    """Pick the fate of one datagram.

    :returns: delay in seconds of each copy that arrives.
    """
    draw = rng.random()
    if draw < faults.loss:
        return NO_COPY
    draw -= faults.loss
    if draw < faults.duplicate:
        return (0, rng.random() * faults.hold_ms / 1000)
    draw -= faults.duplicate
    if draw < faults.reorder:
        return (rng.random() * faults.hold_ms / 1000,)
    return ONE_COPY
