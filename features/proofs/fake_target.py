"""Stand-in targets: slots, shedding, draining, cold starts, feeds.

A target keeps to its contract (docs/TARGETS.md): it refuses an identity
that is not its own and a deadline that has passed, and both refusals mean
that nothing ran.  It removes no doubled request by itself.
"""

from dataclasses import dataclass, field

from cornelgap.core import calls
from cornelgap.core.errors import Code
from cornelgap.decisions.ends import CallEnd
from cornelgap.entry import call_ends
from features.proofs import checkers
from features.proofs import records as rec

PIECE_BYTES = 2000
EVENTS_PER_S = 5
COLD_S = 2.0
COLD_FACTOR = 5
SERVICE_S = 0.05
LONG_PIECE_S = 0.03
QUEUE = 2


@dataclass
class Serving:
    """One call at a target.

    :param report: takes a list of events back to the caller of the call.
    """

    effect: object
    report: object
    granted: int
    position: int = 0
    running: bool = False
    over: bool = False


@dataclass
class Target:
    """One target process at an address.

    :param late_s: extra time of each answer.
    """

    world: object
    name: str
    service: str
    zone: str
    address: str
    slots: int = 2
    incarnation: int = 1
    alive: bool = True
    draining: bool = False
    shedding: bool = False
    late_s: float = 0
    cold_until: float = 0
    servings: list = field(default_factory=list)
    waiting: list = field(default_factory=list)

    def count_running(self):
        """Count the requests that hold a slot."""
        return sum(
            one.running
            for one in self.servings
            if isinstance(one.effect, calls.StartRun)
        )

    def start(self, effect, deadline, report):
        """Take a call; returns its :class:`Serving`.

        :param deadline: absolute, on the loop's clock.
        """
        serving = Serving(effect, report, effect.pieces)
        problem = self._find_problem(effect, deadline)
        if problem:
            self._end(serving, problem)
            return serving
        self.servings.append(serving)
        if isinstance(effect, calls.StartFollow):
            serving.position = effect.position
            self.world.tape.note(rec.Followed(self.name, self.world.loop.now))
            self._feed(serving)
            return serving
        self.waiting.append((serving, deadline))
        self._start_waiting()
        return serving

    def _find_problem(self, effect, deadline):
        call_id = effect.call_id
        stated = (self.service, self.name)
        foreign = stated != (effect.service, effect.target)
        if foreign or effect.incarnation not in {0, self.incarnation}:
            return call_ends.end_unsent(
                call_id, CallEnd.FAILED, Code.REQ_WRONG_IDENTITY
            )
        if not isinstance(effect, calls.StartRun):
            return None
        if self.shedding or len(self.waiting) >= QUEUE:
            end = call_ends.end_unsent(
                call_id, CallEnd.SHED, Code.REQ_TARGET_SHED
            )
            end.retry_after_ms = 100
            return end
        return None

    def _start_waiting(self):
        while self.waiting and self.count_running() < self.slots:
            serving, deadline = self.waiting.pop(0)
            if serving.over:
                continue
            if self.world.loop.now >= deadline:
                self.servings.remove(serving)
                self._end(
                    serving,
                    call_ends.end_unsent(
                        serving.effect.call_id,
                        CallEnd.TIMEOUT,
                        Code.REQ_DEADLINE,
                    ),
                )
                continue
            self._execute(serving)

    def _execute(self, serving):
        effect = serving.effect
        serving.running = True
        self.world.tape.note(
            rec.Executed(
                service=self.service,
                wanted=effect.service,
                target=self.name,
                req=rec.ReqId(effect.flow_id, effect.epoch, effect.number),
                payload=effect.payload,
                at=self.world.loop.now,
            )
        )
        took = SERVICE_S + self.late_s
        if self.world.loop.now < self.cold_until:
            took *= COLD_FACTOR
        self.world.loop.at(took, self._answer, serving, self.incarnation)

    def _answer(self, serving, incarnation):
        if serving.over or incarnation != self.incarnation:
            return
        payload = serving.effect.payload
        whole = checkers.expect_answer(payload, checkers.read_size(payload))
        while serving.granted > 0 and not serving.over:
            end = serving.position + PIECE_BYTES
            piece = whole[serving.position : end]
            last = end >= len(whole)
            self._send_piece(serving, piece, last)
            serving.position = end
            if last and not serving.over:
                self._finish(serving)

    def _send_piece(self, serving, payload, last=False):
        serving.granted -= 1
        load = calls.TargetLoad(
            self.count_running(), len(self.waiting), self.slots, self.draining
        )
        serving.report(
            'answer',
            calls.PieceArrived(
                serving.effect.call_id,
                serving.position,
                payload,
                last,
                self.incarnation,
                load,
            ),
        )

    def _finish(self, serving):
        self.servings.remove(serving)
        serving.running = False
        self._end(serving, call_ends.end_done(serving.effect.call_id))
        self._start_waiting()

    def _end(self, serving, event):
        serving.over = True
        serving.report('answer', event)

    def grant(self, serving, pieces):
        """Allow some more pieces of a call."""
        if serving.over:
            return
        serving.granted += pieces
        if isinstance(serving.effect, calls.StartRun):
            self.world.loop.at(
                LONG_PIECE_S, self._answer, serving, self.incarnation
            )

    def _feed(self, serving):
        if serving.over:
            return
        newest = int(self.world.loop.now * EVENTS_PER_S)
        first = self.world.feed_origin
        topic = serving.effect.payload.decode()
        while serving.granted > 0 and serving.position < newest - first:
            event = checkers.expect_event(topic, serving.position)
            self._send_piece(serving, event)
            serving.position += 1
        self.world.loop.at(1 / EVENTS_PER_S, self._feed, serving)

    def stop(self, serving):
        """End a call that its entry instance has cancelled."""
        serving.over = True
        if serving in self.servings:
            self.servings.remove(serving)
        serving.running = False
        self._start_waiting()

    def kill(self):
        """End the process: its connections break."""
        self.alive = False
        self.incarnation += 1
        for serving in self.servings:
            serving.over = True
            self.world.loop.at(
                0.001,
                serving.report,
                'answer',
                call_ends.end_doubtful(
                    serving.effect.call_id,
                    CallEnd.FAILED,
                    Code.REQ_TARGET_LOST,
                ),
            )
        self.servings.clear()
        self.waiting.clear()

    def revive(self):
        """Start a new process at the same address, cold."""
        self.alive = True
        self.draining = False
        self.cold_until = self.world.loop.now + COLD_S
