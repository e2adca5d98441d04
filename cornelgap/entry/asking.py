"""How a gRPC server in the loop asks an actor, within a bounded time."""

import asyncio
import functools

import grpc
import pykka

from cornelgap.kernel.names import ServiceMissing

ANSWER_S = 1.5
"""Longest wait for an actor, in seconds; below the two seconds that peers
and operators wait, so that they hear a reason and not just nothing."""


async def ask_actor(context, ask, *args):
    """Ask an actor without blocking the loop.

    The call ends with DEADLINE_EXCEEDED if the actor is too busy, and with
    UNAVAILABLE if it does not run.

    :param ask: called with the arguments, returns a pykka future.
    :returns: the actor's answer.
    """
    try:
        get = functools.partial(ask(*args).get, timeout=ANSWER_S)
        return await asyncio.get_running_loop().run_in_executor(None, get)
    except pykka.Timeout:
        await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, 'busy')
    except (pykka.ActorDeadError, ServiceMissing):
        await context.abort(grpc.StatusCode.UNAVAILABLE, 'not running')
