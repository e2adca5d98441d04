"""Whom an entry instance trusts: TLS towards each side, from its settings.

``[tls]`` must be there, because the servers for peers and operators give
away token keys and stop instances.  ``[platform_tls]`` and ``[target_tls]``
say it for those two sides; without them ``[tls]`` counts there too.
"""

from dataclasses import dataclass

from cornelgap.core.errors import Code, CodedError
from cornelgap.kernel.credentials import TlsSettings

FLEET = 'tls'
PLATFORM = 'platform_tls'
TARGETS = 'target_tls'


@dataclass(frozen=True, slots=True)
class Trust:
    """TLS settings by side.

    :param fleet: other entry instances and operators.
    """

    fleet: TlsSettings
    platform: TlsSettings
    targets: TlsSettings


def load_trust(sections):
    """Load TLS settings, going on past the first error.

    :param sections: option texts by section.
    :returns: (:class:`Trust` or None, list of :class:`CodedError`).
    """
    if FLEET not in sections:
        # Off by omission would go unnoticed until somebody reads the keys.
        text = 'section [tls] is missing; "mode = off" switches TLS off'
        return None, [CodedError(Code.CFG_MISSING_OPTION, text, '[tls]')]
    errors = []
    loaded = {}
    for name in (FLEET, PLATFORM, TARGETS):
        try:
            loaded[name] = TlsSettings.from_options(
                sections.get(name, sections[FLEET])
            )
        except CodedError as exc:
            errors.append(exc)
    if errors:
        return None, errors
    return Trust(loaded[FLEET], loaded[PLATFORM], loaded[TARGETS]), []
