"""What the end of a call to a target lets an entry instance conclude.

The rule is one-sided: "not run" needs proof, everything else may have run.
The proofs are that the request never left this process, or that the target
said under its contract (docs/TARGETS.md) that it did not run.
"""

import grpc

from cornelgap.core.calls import CallEnded
from cornelgap.core.errors import Code
from cornelgap.core.verdicts import RunState
from cornelgap.decisions.ends import CallEnd

NOT_RUN_KEY = 'cornelgap-not-run'
RETRY_AFTER_KEY = 'cornelgap-retry-after-ms'
MAX_RETRY_AFTER_MS = 60000


def end_done(call_id):
    """Build the end of a call that gave all it had."""
    return CallEnded(call_id, CallEnd.OK, RunState.DONE)


def end_unsent(call_id, ended, code):
    """Build the end of a call that never left this process."""
    return CallEnded(call_id, ended, RunState.NOT_RUN, code)


def end_doubtful(call_id, ended, code):
    """Build the end of a call that may have run."""
    return CallEnded(call_id, ended, RunState.MAY_HAVE_RUN, code)


def read_status(call_id, status, trailers, answered):
    """Read the end of a call from its gRPC status, which is not OK.

    :param status: :class:`grpc.StatusCode`.
    :param trailers: trailing metadata as pairs.
    :param answered: whether any piece came before.
    """
    stated = dict(trailers or ())
    # Only the target's own trailer is proof.  The library itself makes the
    # same status codes, RESOURCE_EXHAUSTED for an oversized answer for
    # one, long after the request has run.  A target that has sent a piece
    # contradicts itself and is not believed.
    if stated.get(NOT_RUN_KEY) == '1' and not answered:
        return _read_refusal(call_id, status, stated)
    if status is grpc.StatusCode.DEADLINE_EXCEEDED:
        return end_doubtful(call_id, CallEnd.TIMEOUT, Code.REQ_DEADLINE)
    if status is grpc.StatusCode.UNAVAILABLE:
        return end_doubtful(call_id, CallEnd.FAILED, Code.REQ_TARGET_LOST)
    return end_doubtful(call_id, CallEnd.FAILED, Code.REQ_TARGET_FAILED)


def _read_refusal(call_id, status, stated):
    if status is grpc.StatusCode.FAILED_PRECONDITION:
        return end_unsent(call_id, CallEnd.FAILED, Code.REQ_WRONG_IDENTITY)
    if status is grpc.StatusCode.DEADLINE_EXCEEDED:
        return end_unsent(call_id, CallEnd.TIMEOUT, Code.REQ_DEADLINE)
    end = end_unsent(call_id, CallEnd.SHED, Code.REQ_TARGET_SHED)
    end.retry_after_ms = _read_wait(stated.get(RETRY_AFTER_KEY, ''))
    return end


def _read_wait(text):
    # A target's word is input from outside: a wild figure would send the
    # caller away for good.
    if not isinstance(text, str) or not text.isascii() or not text.isdigit():
        return 0
    return min(int(text[:9]), MAX_RETRY_AFTER_MS)
