"""The users' sizes of today, as the brief gives them."""

from dataclasses import dataclass

from cornelgap.core.settings import ServiceCfg, TargetCfg


@dataclass(frozen=True)
class Site:
    """One service at one place.

    :param entry_zones: zone of each entry instance.
    :param work_s: mean slot seconds of a short request; ours, not the
        users': the brief gives no service times.
    """

    name: str
    entry_zones: tuple
    targets: int
    slots: int
    zones: int
    imbalance_weight: float
    work_s: float = 0.1
    deadline_s: float = 2.0
    callers: int = 70
    flows: int = 700

    @property
    def capacity(self):
        """Return the slots of all targets."""
        return self.targets * self.slots

    def build_service(self, without=()):
        """Build the service's configuration."""
        targets = {}
        for number in range(self.targets):
            name = f'target-{number}'
            zone = f'zone-{number % self.zones}'
            if name not in without:
                targets[name] = TargetCfg(
                    name, f'10.0.0.{number}:1', zone, self.slots
                )
        return ServiceCfg(
            name=self.name,
            targets=targets,
            imbalance_weight=self.imbalance_weight,
        )


AMMAN = Site(
    name='search',
    entry_zones=('zone-0', 'zone-0', 'zone-1', 'zone-1', 'zone-2', 'zone-2'),
    targets=7,
    slots=2,
    zones=3,
    imbalance_weight=0.2,
)
PERTH = Site(
    name='booking',
    entry_zones=('zone-0', 'zone-0', 'zone-1', 'zone-1', 'zone-2', 'zone-3'),
    targets=7,
    slots=3,
    zones=4,
    imbalance_weight=0.8,
)
SITES = {'Amman': AMMAN, 'Perth': PERTH}
