"""Check the settings of a fleet process; each finding has a number and a hint."""

from bronzescale_proxy.checks import CheckMessage
from bronzescale_proxy.exceptions import SettingsError

_NAMES = ("node", "zone", "region")
_ADDRESSES = ("caller_address", "ready_address", "peer_address", "store_address")
# Listeners, store, a few peers and a few databases; callers come on top.
MIN_DESCRIPTORS = 64


def check_settings(settings):
    """Return every finding on the settings.

    Parameters
    ----------
    settings : FleetSettings
        The settings.

    Returns
    -------
    list of CheckMessage
    """
    checks = (_check_names, _check_addresses, _check_limits)
    return [message for check in checks for message in check(settings)]


def require_valid(settings):
    """Raise `SettingsError` with every finding, if there is any."""
    messages = check_settings(settings)
    if messages:
        raise SettingsError("\n".join(message.render() for message in messages))


def _check_names(settings):
    for field in _NAMES:
        if not getattr(settings, field):
            yield CheckMessage(
                "bronzescale.E101",
                f"{field} is empty.",
                f"Give the host's {field} in the settings.",
            )


def _check_addresses(settings):
    for field in _ADDRESSES:
        value = getattr(settings, field)
        host, _, port = value.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
            yield CheckMessage(
                "bronzescale.E102",
                f"{field} {value!r} is no IP number with a port.",
                f"Set {field} to something like 10.0.0.1:7440.",
            )


def _check_limits(settings):
    if settings.max_descriptors < MIN_DESCRIPTORS:
        yield CheckMessage(
            "bronzescale.E103",
            f"max_descriptors {settings.max_descriptors} is too low.",
            f"Allow the process {MIN_DESCRIPTORS} descriptors or more.",
        )
    if settings.stop_grace_ms <= 0:
        yield CheckMessage(
            "bronzescale.E104",
            f"stop_grace_ms {settings.stop_grace_ms} leaves no time to stop.",
            "Allow some seconds between SIGTERM and SIGKILL.",
        )
