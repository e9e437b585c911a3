"""Check the settings of a fleet process.

Each message has a stable number and a hint that names the remedy.
"""

from bronzescale_core.field_checks import (
    MAX_LABEL_CHARACTERS,
    is_address,
    is_label,
)
from bronzescale_proxy.checks import CheckMessage
from bronzescale_proxy.exceptions import SettingsError

_REQUIRED_FIELDS = ("node", "zone", "region")
_ADDRESS_FIELDS = ("caller_address", "ready_address", "peer_address", "store_address")
# Enough for the listeners, the store, a few peers and a few databases; connections of
# callers come on top.
MIN_DESCRIPTORS = 64


def check_settings(settings):
    """Return a message for each invalid setting.

    Parameters
    ----------
    settings : FleetSettings
        Settings to check.

    Returns
    -------
    list of CheckMessage
    """
    checks = (_check_names, _check_addresses, _check_limits)
    return [message for check in checks for message in check(settings)]


def require_valid(settings):
    """Raise `SettingsError` with all messages if any setting is invalid."""
    messages = check_settings(settings)
    if messages:
        raise SettingsError("\n".join(message.render() for message in messages))


def _check_names(settings):
    """Check what this host writes to the store about itself; others must read it."""
    for field in _REQUIRED_FIELDS:
        value = getattr(settings, field)
        if not is_label(value):
            yield CheckMessage(
                "bronzescale.E101",
                f"{field} {ascii(value)[:80]} is empty, not printable or longer than "
                f"{MAX_LABEL_CHARACTERS} characters.",
                f"Set {field} to that of the host.",
            )


def _check_addresses(settings):
    for field in _ADDRESS_FIELDS:
        value = getattr(settings, field)
        if not is_address(value):
            yield CheckMessage(
                "bronzescale.E102",
                f"{field} {value!r} is not an IPv4 address and a port from 1 to 65535.",
                f"Set {field} to an address and a port, such as 10.0.0.1:7440.",
            )


def _check_limits(settings):
    if settings.max_descriptors < MIN_DESCRIPTORS:
        yield CheckMessage(
            "bronzescale.E103",
            f"max_descriptors {settings.max_descriptors} is too low.",
            f"Set max_descriptors to at least {MIN_DESCRIPTORS}.",
        )
    if settings.stop_grace_ms <= 0:
        yield CheckMessage(
            "bronzescale.E104",
            f"stop_grace_ms {settings.stop_grace_ms} leaves no time to stop.",
            "Set stop_grace_ms to the time between SIGTERM and SIGKILL.",
        )
