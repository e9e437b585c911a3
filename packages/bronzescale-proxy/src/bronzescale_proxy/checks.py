"""Check the settings at start; each message has an ID and a hint."""

import re
from ipaddress import ip_address
from typing import NamedTuple
from urllib.parse import urlsplit

from bronzescale_proxy.exceptions import SettingsError

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class CheckMessage(NamedTuple):
    """Message of a check.

    Parameters
    ----------
    check_id : str
        Such as ``bronzescale.E001``; E marks an error, which prevents the start.
    text : str
        Describes the problem.
    hint : str
        Describes the solution.
    """

    check_id: str
    text: str
    hint: str

    def render(self):
        """Return the message as one line."""
        return f"{self.check_id}: {self.text} HINT: {self.hint}"


def check_settings(settings):
    """Run every check on the settings.

    Parameters
    ----------
    settings : Settings
        Settings of this node.

    Returns
    -------
    list of CheckMessage
    """
    checks = (
        _check_names,
        _check_platform_url,
        _check_hosts,
        _check_ports,
        _check_logging,
        _check_limits,
        _check_acknowledge,
    )
    return [message for check in checks for message in check(settings)]


def require_valid(settings):
    """Raise an error if a check fails.

    Parameters
    ----------
    settings : Settings
        Settings of this node.

    Raises
    ------
    SettingsError
        With the messages of all checks that failed.
    """
    messages = check_settings(settings)
    if messages:
        raise SettingsError("\n".join(message.render() for message in messages))


def _check_names(settings):
    for field in ("node", "zone", "region"):
        value = getattr(settings, field)
        if not _NAME.fullmatch(value):
            yield CheckMessage(
                "bronzescale.E001",
                f"{field} {value!r} is not a valid name.",
                f"Set BRONZESCALE_{field.upper()} to 1 to 63 characters of a-z, 0-9, "
                "., _ and -, starting with a letter or digit.",
            )


def _check_platform_url(settings):
    parts = urlsplit(settings.platform_url)
    if parts.scheme not in ("http", "https") or not _is_ip(parts.hostname or ""):
        yield CheckMessage(
            "bronzescale.E002",
            f"platform_url {settings.platform_url!r} is not an HTTP URL with an IP "
            "address.",
            "Set BRONZESCALE_PLATFORM_URL to a URL such as http://10.0.0.1:8080.",
        )


def _check_hosts(settings):
    for field in ("caller_host", "peer_host", "admin_host", "statsd_host"):
        value = getattr(settings, field)
        is_optional = field == "statsd_host"
        if not (is_optional and not value) and not _is_ip(value):
            yield CheckMessage(
                "bronzescale.E003",
                f"{field} {value!r} is not an IP address.",
                f"Set BRONZESCALE_{field.upper()} to an IP address of the host.",
            )


def _check_ports(settings):
    for field in ("caller_port", "peer_port", "admin_port", "statsd_port"):
        value = getattr(settings, field)
        if not 0 <= value <= 65_535:
            yield CheckMessage(
                "bronzescale.E004",
                f"{field} {value} is not a valid port.",
                f"Set BRONZESCALE_{field.upper()} to 0 to 65535.",
            )


def _check_logging(settings):
    if settings.log_level not in _LOG_LEVELS:
        yield CheckMessage(
            "bronzescale.E005",
            f"log_level {settings.log_level!r} is not a valid level.",
            f"Set BRONZESCALE_LOG_LEVEL to one of {', '.join(_LOG_LEVELS)}.",
        )
    if settings.log_format not in ("text", "json"):
        yield CheckMessage(
            "bronzescale.E006",
            f"log_format {settings.log_format!r} is not a valid format.",
            "Set BRONZESCALE_LOG_FORMAT to text or json.",
        )


def _check_limits(settings):
    ranges = {
        "max_callers": (1, 65_000),
        "max_packet_bytes": (1_024, 64 * 1024 * 1024),
        "login_timeout_ms": (100, 60_000),
        "stop_grace_ms": (0, 600_000),
    }
    for field, (minimum, maximum) in ranges.items():
        value = getattr(settings, field)
        if not minimum <= value <= maximum:
            yield CheckMessage(
                "bronzescale.E007",
                f"{field} {value} is out of range.",
                f"Set BRONZESCALE_{field.upper()} to {minimum} to {maximum}.",
            )


def _check_acknowledge(settings):
    if settings.acknowledge not in ("replica", "primary"):
        yield CheckMessage(
            "bronzescale.E008",
            f"acknowledge {settings.acknowledge!r} is not a valid mode.",
            "Set BRONZESCALE_ACKNOWLEDGE to replica.",
        )


def _is_ip(text):
    try:
        ip_address(text)
    except ValueError:
        return False
    return True
