"""One call to a target, from the wait for a connection to its end."""

import asyncio

import grpc
from grpc import aio

from cornelgap.core.calls import PieceArrived, StartRun, TargetLoad
from cornelgap.core.errors import Code
from cornelgap.decisions.ends import CallEnd
from cornelgap.entry import call_ends
from cornelgap.wire import target_pb2

MS = 1000


class TargetCall:
    """State of one call; lives in the loop's thread.

    :param effect: :class:`StartRun` or :class:`StartFollow`.
    :param link: :class:`cornelgap.entry.channels.TargetChannel`.
    :param emit: takes each :class:`PieceArrived`.
    """

    def __init__(self, effect, link, emit, now, wall):
        """Prepare the call; nothing is sent before :meth:`run`."""
        self.effect = effect
        self.link = link
        self.sent = False
        self.task = None
        self._running = False
        self._stopped = False
        self._emit = emit
        self._now = now
        self._wall = wall
        self._granted = effect.pieces
        self._wake = asyncio.Event()
        self._conn = None
        self._answered = False
        self._last = False

    def grant(self, pieces):
        """Allow some more pieces to be read."""
        self._granted += pieces
        self._wake.set()

    def stop(self):
        """Cancel the call; its end follows."""
        self._stopped = True
        # A task cancelled before its first step never runs a line, and the
        # end of the call would never be reported.
        if self._running:
            self.task.cancel()

    async def run(self):
        """Make the call and pass its pieces on.

        :returns: :class:`cornelgap.core.calls.CallEnded`.
        """
        self._running = True
        if self._stopped:
            raise asyncio.CancelledError
        call_id = self.effect.call_id
        if not await self.link.await_ready():
            return call_ends.end_unsent(
                call_id, CallEnd.FAILED, Code.REQ_TARGET_LOST
            )
        if not self._send():
            return call_ends.end_unsent(
                call_id, CallEnd.TIMEOUT, Code.REQ_DEADLINE
            )
        self._conn.add_done_callback(self._note_done)
        try:
            return await self._read_pieces()
        except aio.AioRpcError as exc:
            return call_ends.read_status(
                call_id,
                exc.code(),
                exc.trailing_metadata(),
                self._answered,
            )
        finally:
            self._conn.cancel()

    def _send(self):
        effect = self.effect
        if not isinstance(effect, StartRun):
            self.sent = True
            self._conn = self.link.stub.Follow(_build_follow(effect))
            return True
        # This process may stand still at any line.  The wall clock is read
        # first: a pause between the two readings then makes the absolute
        # deadline earlier, never later, than the caller's.
        wall = self._wall()
        left = effect.deadline - self._now()
        if left <= 0:
            # Whoever waits for the answer has given up.  Sent now, the
            # request would run although its caller may already have been
            # told that it timed out.
            return False
        self.sent = True
        req = _build_run(effect, int((wall + left) * MS))
        self._conn = self.link.stub.Run(req, timeout=left)
        return True

    async def _read_pieces(self):
        call_id = self.effect.call_id
        while True:
            piece = await self._conn.read()
            if piece is aio.EOF:
                return await self._read_end()
            if not self._answered and not self._is_from_target(piece):
                return call_ends.end_doubtful(
                    call_id, CallEnd.FAILED, Code.REQ_WRONG_IDENTITY
                )
            self._answered = True
            # One piece is read ahead of the grant, so that the end of an
            # answer is noticed without a grant.  Nothing more is read, so
            # a slow caller is felt at the target through HTTP/2's window
            # and fills no memory here.  The price: an end behind pieces that
            # lie unread in the window shows only after these are granted.
            if not await self._await_grant():
                # Reading on finds the error that ended the call.
                continue
            self._granted -= 1
            self._last = self._last or piece.last
            self._emit(_build_event(call_id, piece))

    async def _await_grant(self):
        while self._granted <= 0:
            self._wake.clear()
            if await self._is_broken():
                return False
            await self._wake.wait()
        return True

    async def _is_broken(self):
        if not self._conn.done():
            return False
        return await self._conn.code() is not grpc.StatusCode.OK

    def _note_done(self, _conn):
        self._wake.set()

    async def _read_end(self):
        status = await self._conn.code()
        if status is not grpc.StatusCode.OK:
            trailers = await self._conn.trailing_metadata()
            return call_ends.read_status(
                self.effect.call_id, status, trailers, self._answered
            )
        if self._last or not isinstance(self.effect, StartRun):
            return call_ends.end_done(self.effect.call_id)
        # The target says that all is well, but the caller would take a
        # part of an answer for the whole.
        return call_ends.end_doubtful(
            self.effect.call_id, CallEnd.FAILED, Code.REQ_TARGET_FAILED
        )

    def _is_from_target(self, piece):
        # An address that was reused by another service's target answers
        # politely with another service's data.  The name that it states
        # gives it away before a byte is passed on.
        stated = (piece.service, piece.target)
        return stated == (self.effect.service, self.effect.target)


def _build_run(effect, deadline_unix_ms):
    return target_pb2.RunRequest(
        service=effect.service,
        target=effect.target,
        incarnation=effect.incarnation,
        flow_id=effect.flow_id,
        epoch=effect.epoch,
        number=effect.number,
        idempotent=effect.idempotent,
        deadline_unix_ms=deadline_unix_ms,
        payload=effect.payload,
    )


def _build_follow(effect):
    return target_pb2.FollowRequest(
        service=effect.service,
        target=effect.target,
        incarnation=effect.incarnation,
        flow_id=effect.flow_id,
        position=effect.position,
        payload=effect.payload,
    )


def _build_event(call_id, piece):
    load = None
    if piece.HasField('load'):
        load = TargetLoad(
            in_flight=piece.load.in_flight,
            waiting=piece.load.waiting,
            slots=piece.load.slots,
            draining=piece.load.draining,
        )
    return PieceArrived(
        call_id=call_id,
        position=piece.position,
        payload=piece.payload,
        last=piece.last,
        incarnation=piece.incarnation,
        load=load,
    )
