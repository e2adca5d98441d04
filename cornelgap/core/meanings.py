"""What each error code means and what to do about it, one sentence each.

After a change run ``python -m bench.errors_page``, which generates
docs/ERRORS.md from these texts.
"""

from cornelgap.core.errors import Code

MEANINGS = {
    Code.PKT_TRUNCATED: 'The datagram is cut short or cannot be decoded; send '
    'it again, and check the network path between caller and entry instance if '
    'it recurs.',
    Code.PKT_VERSION: "The entry instance does not support the datagram's "
    'protocol version; update the older side.',
    Code.PKT_TOKEN_FORGED: 'The flow token was altered or signed without a '
    'valid key; open a new flow.',
    Code.PKT_TOKEN_EXPIRED: 'The flow token has expired; open a new flow.',
    Code.PKT_OTHER_SERVICE: 'The token belongs to another service than the '
    'datagram names; the datagram was dropped, since it must not reach that '
    'service.',
    Code.PKT_OVERSIZED: 'The datagram is longer than the protocol allows; send '
    'a smaller payload.',
    Code.PKT_FIELD: 'A field of the datagram has a value that is not allowed.',
    Code.PKT_KEY_UNKNOWN: 'The token names a key that this entry instance does '
    'not know, perhaps because it has not received it yet; send the same '
    'datagram again.',
    Code.PKT_UNDER_PADDED: 'The datagram is smaller than the answer it asks '
    'for; pad it, so that entry instances cannot be used to flood others.',
    Code.REQ_NO_SERVICE: 'No service has this name in the revision in force.',
    Code.REQ_NO_TARGET: 'No target of the service can take the request now; '
    'retry after the stated time.',
    Code.REQ_QUEUE_FULL: 'The request queue of this entry instance is full; '
    'retry after the stated time.',
    Code.REQ_DEADLINE: 'The deadline passed; the verdict says whether the '
    'request may have run.',
    Code.REQ_TARGET_LOST: 'The connection to the target broke; the verdict '
    'says whether the request may have run.',
    Code.REQ_TARGET_SHED: 'The target refused the request because it is '
    'overloaded; it did not run.',
    Code.REQ_WRONG_IDENTITY: 'Another process than the intended target answers '
    'at its address; check the address in the configuration.',
    Code.REQ_HOME_LOST: 'The entry instance that held the flow is gone; '
    'requests in progress on it may have run, and the flow continues on '
    'another one.',
    Code.REQ_TOO_OLD: 'The request number is below the range that the flow '
    'still remembers; the request may have run.',
    Code.REQ_CANCELLED: 'The caller cancelled the request; the verdict says '
    'whether it may have run.',
    Code.REQ_STOPPING: 'The entry instance is stopping and takes no new work; '
    'send the datagram again.',
    Code.REQ_NO_CFG: 'The entry instance has no configuration yet; retry after '
    'the stated time, and check the platform if it lasts.',
    Code.REQ_BEHIND: 'The configuration of the entry instance is older than '
    'the one that the token was made with; send the same datagram again.',
    Code.REQ_NEVER_SEEN: 'The entry instance that holds the flow has not seen '
    'this request number; the same request id may be sent.',
    Code.REQ_TARGET_FAILED: 'The target ended the request with an error; the '
    'verdict says whether it may have run.',
    Code.REQ_CALLER_SHARE: 'The caller uses its whole share of the queue; '
    'retry after the stated time.',
    Code.REQ_OVERLOADED: 'The entry instance receives more datagrams than it '
    'can handle; send the same datagram again after the stated time.',
    Code.REQ_MOVING: 'The flow is being handed over to another entry instance; '
    'send the same datagram again.',
    Code.CFG_SYNTAX: 'A line of the configuration folder is not a section, '
    'option or comment, or the settings file of an instance is not valid TOML.',
    Code.CFG_UNKNOWN_SECTION: 'The configuration folder has a section of an '
    'unknown kind.',
    Code.CFG_UNKNOWN_OPTION: 'The section has no option of this name.',
    Code.CFG_BAD_VALUE: 'The value of the option is not allowed.',
    Code.CFG_MISSING_OPTION: 'A required option is not set.',
    Code.CFG_DUPLICATE: 'A file contains the same section or option twice.',
    Code.CFG_DANGLING: 'A target names a service that no section defines.',
    Code.CFG_UNREADABLE: 'A file or folder cannot be read.',
    Code.CFG_EMPTY: 'The configuration folder contains no configuration file.',
    Code.CFG_ADDRESS_TAKEN: 'Two targets or two services have the same '
    'address; packets for one would reach the other.',
    Code.OPS_RACE_LOST: 'Another change was accepted first and nothing was '
    'written; look at what changed, merge it into the folder and apply again '
    'on that base.',
    Code.OPS_UNSAFE_CHANGE: 'The change would break a guarantee if made in one '
    'step; first make the step that the message names.',
    Code.OPS_NOT_IN_FORCE: 'The change is accepted, but some entry instances '
    'have not adopted it yet; check the instances that the message names.',
    Code.OPS_NO_MESSAGE: 'A change needs a message that gives its reason.',
    Code.OPS_AUDIT_BROKEN: 'The audit trail lacks an entry or an entry was '
    'altered; find out who can write to the platform.',
    Code.OPS_UNKNOWN_NAME: 'Nothing has this name.',
    Code.OPS_FORBIDDEN: 'The other side has authenticated this client and does '
    'not permit the call; check the certificate.',
    Code.OPS_NO_BASE: 'The revision that the folder is based on is not known; '
    'look at the difference, then state the base.',
    Code.OPS_NO_SETTINGS: 'The command lacks the platform address or TLS '
    'settings.',
    Code.OPS_NO_SUCH_STEP: 'The step is not possible now or at all, for the '
    'reason in the message.',
    Code.PLT_DOWN: 'The platform does not answer; nothing was changed.',
    Code.PLT_ANSWER_LOST: 'The answer to a write was lost and its outcome '
    'could not be determined; repeat with the same write id and base.',
    Code.PLT_CONFLICT: 'The platform returns an older revision than it has '
    'returned before because its store lags; try again later.',
    Code.PLT_TOO_LARGE: 'A value is larger than the platform accepts.',
    Code.PLT_CORRUPT: 'An object in the platform is missing or damaged; it is '
    'not adopted, and the configuration in force stays.',
    Code.NET_FORGED: 'A datagram between entry instances has no valid '
    'signature; it was dropped.',
    Code.NET_ACTOR_CRASHED: 'An actor of an entry instance failed; the log '
    'names it and the consequences.',
}
"""Description by error code."""
