"""Targets, entries and callers of one run, joined by the event loop."""

import random
from dataclasses import dataclass, field

from features.decision_loop.events import EventLoop
from features.decision_loop.outcomes import Outcome, Tally
from features.decision_loop.targets import Target

HOP_S = 0.0005
TICK_S = 0.1


@dataclass(slots=True)
class Flow:
    """One flow: its home and the target it is pinned to."""

    number: int
    home: int
    target: str | None = None
    open: bool = False


@dataclass(slots=True, eq=False)
class Req:
    """One request on its way."""

    arrival: object
    flow: Flow
    deadline: float
    tries: int = 0
    settled: bool = False
    call: object = None
    sent_at: float = 0.0


@dataclass
class Plan:
    """What happens in a run, the same for every policy.

    :param arrivals: requests in any order.
    :param faults: (time, function of the world).
    :param opens: (time, flow number) of flows opened after the start.
    """

    site: object
    end_s: float
    arrivals: list
    faults: list = field(default_factory=list)
    opens: dict = field(default_factory=dict)
    closes: list = field(default_factory=list)
    cold: tuple = ()
    queue: int | None = None


class World:
    """One run of a plan under one policy."""

    def __init__(self, plan, make_entry, seed):
        self.plan = plan
        self.seed = seed
        self.loop = EventLoop()
        self.tally = Tally()
        site = plan.site
        queue = site.slots if plan.queue is None else plan.queue
        self.service = site.build_service(without=plan.cold)
        self.targets = {
            name: Target(self.loop, name, site.slots, queue)
            for name in site.build_service().targets
        }
        self.entries = [
            make_entry(self, number, zone, random.Random(f'{seed}/{number}'))
            for number, zone in enumerate(site.entry_zones)
        ]
        self.homes = list(range(len(self.entries)))
        self.rng = random.Random(f'{seed}/world')
        self.flows = {}

    def run(self):
        """Run the plan to its end and a little beyond."""
        plan = self.plan
        # The fabric opens a flow at any entry; dealt out by number, flows of
        # one caller would meet the same turns of a round robin.
        homes = random.Random(f'{self.seed}/homes')
        for number in range(plan.site.flows):
            home = homes.randrange(len(self.entries))
            self.flows[number] = Flow(number, home)
            self.loop.at(plan.opens.get(number, 0.0), self.open_flow, number)
        for when, number in plan.closes:
            self.loop.at(when, self.close_flow, number)
        for arrival in plan.arrivals:
            self.loop.at(arrival.at, self.receive, arrival)
        for when, fault in plan.faults:
            self.loop.at(when, fault, self)
        ticks = int(plan.end_s / TICK_S)
        for tick in range(1, ticks):
            for entry in self.entries:
                self.loop.at(tick * TICK_S, entry.tick)
        self.loop.run_until(plan.end_s)
        self.loop.run_until(plan.end_s + 60)
        return self

    def open_flow(self, number):
        """Open a flow at its home; one that finds no target tries later."""
        flow = self.flows[number]
        entry = self.entries[flow.home]
        flow.open = entry.open_flow(flow)
        if not flow.open:
            self.loop.after(TICK_S, self.open_flow, number)

    def close_flow(self, number):
        """Close a flow and open it anew, as another caller would."""
        flow = self.flows[number]
        if flow.open and flow.home in self.homes:
            self.entries[flow.home].close_flow(flow)
            flow.home = self.rng.choice(self.homes)
            self.open_flow(number)

    def receive(self, arrival):
        """Give a request to its flow's home."""
        flow = self.flows[arrival.flow]
        req = Req(arrival, flow, arrival.at + arrival.deadline_s)
        self.entries[flow.home].receive(req)

    def settle(self, req, outcome):
        """Give a request its final answer, once."""
        if req.settled:
            return
        req.settled = True
        self.entries[req.flow.home].open_reqs.discard(req)
        took = self.loop.now - req.arrival.at
        if outcome is Outcome.IN_TIME and self.loop.now > req.deadline:
            outcome = Outcome.LATE
        self.tally.add(req.arrival, outcome, took)
