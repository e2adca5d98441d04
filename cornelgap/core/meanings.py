"""What each error code means and what to do about it, one sentence each."""

from cornelgap.core.errors import Code

MEANINGS = {
    Code.PKT_TRUNCATED: 'The datagram ends early or is no message; send it '
    'again, and look at the path between caller and entry if it recurs.',
    Code.PKT_VERSION: 'The datagram has a protocol version that this entry '
    'does not speak; update the older side.',
    Code.PKT_TOKEN_FORGED: 'The flow token was altered or made without the '
    'key; open a new flow.',
    Code.PKT_TOKEN_EXPIRED: 'The flow token has passed its lifetime; open a '
    'new flow.',
    Code.PKT_OTHER_SERVICE: 'The token belongs to another service than the '
    'datagram names; the datagram was dropped, since it must not reach '
    'that service.',
    Code.PKT_OVERSIZED: 'The datagram is longer than the protocol allows; '
    'send a smaller payload.',
    Code.PKT_FIELD: 'A field of the datagram has a value that is not allowed.',
    Code.PKT_KEY_UNKNOWN: 'The token names a key that this entry does not '
    'know, maybe not yet; send the same datagram again.',
    Code.PKT_UNDER_PADDED: 'The datagram is smaller than the answer it asks '
    'for; pad it, so that entries cannot be used to flood others.',
    Code.REQ_NO_SERVICE: 'No service has this name in the revision in force.',
    Code.REQ_NO_TARGET: 'No target of the service can take the request now; '
    'come back after the stated time.',
    Code.REQ_QUEUE_FULL: 'As many requests wait at this entry as may; come '
    'back after the stated time.',
    Code.REQ_DEADLINE: 'The deadline passed; the verdict says whether the '
    'request may have run.',
    Code.REQ_TARGET_LOST: 'The connection to the target broke; the verdict '
    'says whether the request may have run.',
    Code.REQ_TARGET_SHED: 'The target refused the request because it is '
    'full; it did not run.',
    Code.REQ_WRONG_IDENTITY: 'Another process than the meant target answers '
    'at its address; check the address in the configuration.',
    Code.REQ_HOME_LOST: 'The entry that held the flow is gone; requests in '
    'progress on it may have run, and the flow goes on elsewhere.',
    Code.REQ_TOO_OLD: 'The request number is below what the flow still '
    'remembers; it may have run.',
    Code.REQ_CANCELLED: 'The caller cancelled the request; the verdict says '
    'whether it may have run.',
    Code.REQ_STOPPING: 'The entry is stopping and takes nothing new; send '
    'the datagram again.',
    Code.REQ_NO_CFG: 'The entry has no configuration yet; come back after '
    'the stated time, and look at the platform if it lasts.',
    Code.REQ_BEHIND: 'The entry has an older revision than the token; send '
    'the same datagram again.',
    Code.REQ_NEVER_SEEN: 'The home has not seen this request number; the '
    'same id may be sent.',
    Code.REQ_TARGET_FAILED: 'The target ended the request with a fault; the '
    'verdict says whether it may have run.',
    Code.REQ_CALLER_SHARE: 'The caller holds its whole share of the queue; '
    'come back after the stated time.',
    Code.REQ_OVERLOADED: 'The entry instance has more datagrams than it '
    'can handle; send the same datagram again after the stated time.',
    Code.REQ_MOVING: 'The flow is being handed to another entry; send the '
    'same datagram again.',
    Code.CFG_SYNTAX: 'A line of the folder is no section, option or comment, '
    'or the settings file of an instance is no TOML.',
    Code.CFG_UNKNOWN_SECTION: 'The folder has a section of a kind that does '
    'not exist.',
    Code.CFG_UNKNOWN_OPTION: 'The section has no option of this name.',
    Code.CFG_BAD_VALUE: 'The value of the option is not allowed.',
    Code.CFG_MISSING_OPTION: 'An option that must be set is not set.',
    Code.CFG_DUPLICATE: 'One file has the section or the option twice.',
    Code.CFG_DANGLING: 'A target names a service that no section describes.',
    Code.CFG_UNREADABLE: 'A file or folder cannot be read.',
    Code.CFG_EMPTY: 'The folder holds no configuration file.',
    Code.CFG_ADDRESS_TAKEN: 'Two names have one address; packets for one '
    'would reach the other.',
    Code.OPS_RACE_LOST: 'Another change came first and nothing was written; '
    'look at what changed, bring it into the folder, apply on that base.',
    Code.OPS_UNSAFE_CHANGE: 'The change would break a promise if made in one '
    'step; make the step first that the message names.',
    Code.OPS_NOT_IN_FORCE: 'The change is accepted, and some entry instances '
    'do not have it yet; look at those that are named.',
    Code.OPS_NO_MESSAGE: 'A change needs a message that says why.',
    Code.OPS_AUDIT_BROKEN: 'The audit trail lacks an entry or one was '
    'edited; find out who can write to the platform.',
    Code.OPS_UNKNOWN_NAME: 'Nothing has this name.',
    Code.OPS_FORBIDDEN: 'The other side knows who calls and does not allow '
    'it; check the certificate.',
    Code.OPS_NO_BASE: 'Nothing tells which revision the folder was made '
    'from; look at the difference, then state the base.',
    Code.OPS_NO_SETTINGS: 'The command lacks the platform address or TLS '
    'settings.',
    Code.OPS_NO_SUCH_STEP: 'The step is not possible yet or not at all, for '
    'the reason in the message.',
    Code.PLT_DOWN: 'The platform does not answer; nothing was changed.',
    Code.PLT_ANSWER_LOST: 'The answer to a write was lost and could not be '
    'settled; repeat with the same write id and base.',
    Code.PLT_CONFLICT: 'The platform shows an older revision than one it '
    'has shown before; its store lags, so try again later.',
    Code.PLT_TOO_LARGE: 'A value is longer than the platform takes.',
    Code.PLT_CORRUPT: 'An object in the platform is missing or damaged; it '
    'is not adopted, and what is in force stays so.',
    Code.NET_FORGED: 'A datagram between entries bears no valid seal; it '
    'was dropped.',
    Code.NET_ACTOR_CRASHED: 'A part of an entry instance failed; the log '
    'names it and what follows.',
}
"""A sentence by code; docs/ERRORS.md is written from it."""
