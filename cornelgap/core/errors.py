"""The catalogue of error codes, and the exception that carries a code.

Codes are stable: operators search for them and callers branch on them.
``python -m bench.errors_page`` generates docs/ERRORS.md from this catalogue.
"""

import enum


class Code(enum.StrEnum):
    """Stable error codes; the prefix names the subject area.

    ``CFG`` configuration, ``PKT`` datagrams from callers, ``REQ`` requests,
    ``PLT`` platform, ``OPS`` operators' commands, ``NET`` datagrams between
    entry instances and faults inside one.
    """

    # Datagrams from callers.
    PKT_TRUNCATED = 'PKT-001'
    PKT_VERSION = 'PKT-002'
    PKT_TOKEN_FORGED = 'PKT-003'
    PKT_TOKEN_EXPIRED = 'PKT-004'
    PKT_OTHER_SERVICE = 'PKT-005'
    PKT_OVERSIZED = 'PKT-006'
    PKT_FIELD = 'PKT-007'
    PKT_KEY_UNKNOWN = 'PKT-008'
    PKT_UNDER_PADDED = 'PKT-009'
    # Requests and flows.
    REQ_NO_SERVICE = 'REQ-001'
    REQ_NO_TARGET = 'REQ-002'
    REQ_QUEUE_FULL = 'REQ-003'
    REQ_DEADLINE = 'REQ-004'
    REQ_TARGET_LOST = 'REQ-005'
    REQ_TARGET_SHED = 'REQ-006'
    REQ_WRONG_IDENTITY = 'REQ-007'
    REQ_HOME_LOST = 'REQ-008'
    REQ_TOO_OLD = 'REQ-009'
    REQ_CANCELLED = 'REQ-010'
    REQ_STOPPING = 'REQ-012'
    REQ_NO_CFG = 'REQ-013'
    REQ_BEHIND = 'REQ-014'
    REQ_NEVER_SEEN = 'REQ-016'
    REQ_TARGET_FAILED = 'REQ-017'
    REQ_CALLER_SHARE = 'REQ-018'
    REQ_MOVING = 'REQ-019'
    REQ_OVERLOADED = 'REQ-020'
    # Configuration.
    CFG_SYNTAX = 'CFG-001'
    CFG_UNKNOWN_SECTION = 'CFG-002'
    CFG_UNKNOWN_OPTION = 'CFG-003'
    CFG_BAD_VALUE = 'CFG-004'
    CFG_MISSING_OPTION = 'CFG-005'
    CFG_DUPLICATE = 'CFG-006'
    CFG_DANGLING = 'CFG-007'
    CFG_UNREADABLE = 'CFG-008'
    CFG_EMPTY = 'CFG-009'
    CFG_ADDRESS_TAKEN = 'CFG-010'
    # Operators.
    OPS_RACE_LOST = 'OPS-001'
    OPS_UNSAFE_CHANGE = 'OPS-002'
    OPS_NOT_IN_FORCE = 'OPS-003'
    OPS_NO_MESSAGE = 'OPS-004'
    OPS_AUDIT_BROKEN = 'OPS-005'
    OPS_UNKNOWN_NAME = 'OPS-006'
    OPS_FORBIDDEN = 'OPS-007'
    OPS_NO_BASE = 'OPS-008'
    OPS_NO_SETTINGS = 'OPS-009'
    OPS_NO_SUCH_STEP = 'OPS-010'
    # Platform.
    PLT_DOWN = 'PLT-001'
    PLT_ANSWER_LOST = 'PLT-002'
    PLT_CONFLICT = 'PLT-003'
    PLT_TOO_LARGE = 'PLT-004'
    PLT_CORRUPT = 'PLT-005'
    # Between and inside entry instances.
    NET_FORGED = 'NET-002'
    NET_ACTOR_CRASHED = 'NET-004'


class CodedError(Exception):
    """An error with a stable code and the location of its cause.

    :param code: one of :class:`Code`.
    :param text: description in one short sentence.
    :param place: file and line, field or option; empty if none applies.
    """

    def __init__(self, code, text, place=''):
        """Set the attributes and build the exception's message."""
        super().__init__(f'{code} {place + ": " if place else ""}{text}')
        self.code = code
        self.text = text
        self.place = place
