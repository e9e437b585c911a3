"""Parse and validate declarations of services, places, users and schema versions.

Operators write a declaration as TOML; the store holds it as JSON. Fields that this
release does not know are kept unchanged, so that nodes of two releases can share one
store.
"""

import re
import tomllib
from typing import NamedTuple, TypedDict

from bronzescale_core.exceptions import InvalidDeclarationError
from bronzescale_core.groups import Upstream

SUPPORTED_SCHEMA_VERSIONS = (1, 2)
MAX_OBJECT_BYTES = 1_000_000
DEFAULT_REPLICA_WAIT_MS = 250
DEFAULT_MAX_QUEUED = 64
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_TABLE_HEADER = re.compile(r"^\s*(\[\[?)\s*([\w.-]+)\s*\]\]?")
_KEY_ASSIGNMENT = re.compile(r"^\s*([\w-]+)\s*=")


class DeclarationDocument(TypedDict, total=False):
    """JSON form of a declaration."""

    schema_version: int
    name: str
    place: list
    link: list
    user: list
    service: list


class DeclarationProblem(NamedTuple):
    """One error found in a declaration.

    Parameters
    ----------
    line : int
        Line in the file; 0 if the declaration was not read from a file.
    field : str
        Path of the field.
    text : str
        Description of the error.
    remedy : str
        How to fix it.
    """

    line: int
    field: str
    text: str
    remedy: str

    def render(self):
        """Return the problem as one line of text."""
        where = f"line {self.line}, " if self.line else ""
        return f"{where}{self.field}: {self.text}; {self.remedy}"


class PlaceRule(NamedTuple):
    """An availability zone and the region that it belongs to."""

    zone: str
    region: str


class User(NamedTuple):
    """Login of a caller.

    Parameters
    ----------
    name : str
        Login name.
    password_sha1 : str
        Hexadecimal SHA-1 of the SHA-1 of the password; empty for no password.
    """

    name: str
    password_sha1: str


class Service(NamedTuple):
    """A service and the database group that stores its data.

    Parameters
    ----------
    name : str
        Name of the service, which callers use as the database name.
    schema_versions : tuple of int
        Schema versions of its records that are in force.
    upstreams : tuple of Upstream
        Databases of the group.
    initial_primary : str
        Name of the primary of term 1.
    replica_wait_ms : int
        Longest time that a read waits for a replica to apply the session's position.
    max_queued : int
        Maximum number of statements that wait for a slot of each database.
    """

    name: str
    schema_versions: tuple
    upstreams: tuple
    initial_primary: str
    replica_wait_ms: int
    max_queued: int


class Declaration(NamedTuple):
    """A declaration that is in force.

    Parameters
    ----------
    name : str
        Name of the deployment.
    generation : int
        Version of the store object.
    places : tuple of PlaceRule
        Availability zones and their regions.
    users : tuple of User
        Logins of callers.
    services : tuple of Service
        Services and their database groups.
    """

    name: str
    generation: int
    places: tuple
    users: tuple
    services: tuple

    def service(self, name):
        """Return the service with the given name.

        Parameters
        ----------
        name : str
            Name of the service.

        Returns
        -------
        Service or None
        """
        return next((each for each in self.services if each.name == name), None)


def parse_toml(text):
    """Parse a declaration from TOML and validate it.

    Parameters
    ----------
    text : str
        Content of the file.

    Returns
    -------
    DeclarationDocument

    Raises
    ------
    InvalidDeclarationError
        With all problems found. The declaration must not be applied then.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = re.search(r"line (\d+)", str(error))
        line = int(match.group(1)) if match else 0
        problem = DeclarationProblem(line, "syntax", str(error), "write valid TOML")
        raise InvalidDeclarationError([problem]) from error
    check_document(document, _locate_fields(text))
    return document


def check_document(document, lines=None):
    """Validate a declaration.

    Parameters
    ----------
    document : DeclarationDocument
        The declaration.
    lines : dict of str to int, default=None
        Line number of each field path, for error messages.

    Raises
    ------
    InvalidDeclarationError
        With all problems found.
    """
    validator = _Validator(document, lines or {})
    validator.run()
    if validator.problems:
        raise InvalidDeclarationError(validator.problems)


def load_declaration(document, generation):
    """Build a declaration from its JSON form.

    Parameters
    ----------
    document : DeclarationDocument
        The declaration as the store holds it.
    generation : int
        Version of the store object.

    Returns
    -------
    Declaration

    Raises
    ------
    InvalidDeclarationError
        If the document is invalid for this release.
    """
    check_document(document)
    places = tuple(
        PlaceRule(place["zone"], place["region"]) for place in document["place"]
    )
    regions = {place.zone: place.region for place in places}
    users = tuple(
        User(user["name"], user.get("password_sha1", ""))
        for user in document.get("user", [])
    )
    services = tuple(_load_service(s, regions) for s in document["service"])
    return Declaration(document["name"], generation, places, users, services)


def _load_service(document, regions):
    upstreams = tuple(
        Upstream(
            name=each["name"],
            address=each["address"],
            zone=each["zone"],
            region=regions[each["zone"]],
            slots=each.get("slots", 3),
            max_connections=each.get("max_connections", 20),
            is_leaving=each.get("is_leaving", False),
        )
        for each in document["upstream"]
    )
    return Service(
        name=document["name"],
        schema_versions=tuple(document.get("schema_versions", [1])),
        upstreams=upstreams,
        initial_primary=document.get("initial_primary", upstreams[0].name),
        replica_wait_ms=document.get("replica_wait_ms", DEFAULT_REPLICA_WAIT_MS),
        max_queued=document.get("max_queued", DEFAULT_MAX_QUEUED),
    )


class _Validator:
    """Validator that collects the problems of one document."""

    def __init__(self, document, lines):
        self._document = document
        self._lines = lines
        self._zones = set()
        self.problems = []

    def run(self):
        self._check_schema_version()
        self._check_name("name", self._document.get("name"))
        self._check_places()
        for index, user in enumerate(self._list_at("user", self._document, False)):
            self._check_name(f"user[{index}].name", user.get("name"))
        self._check_services()

    def _add_problem(self, field, text, remedy):
        line = self._lines.get(field, 0)
        parent = field
        while not line and "." in parent:
            parent = parent.rpartition(".")[0]
            line = self._lines.get(parent, 0)
        self.problems.append(DeclarationProblem(line, field, text, remedy))

    def _check_schema_version(self):
        version = self._document.get("schema_version")
        if version not in SUPPORTED_SCHEMA_VERSIONS:
            known = ", ".join(str(each) for each in SUPPORTED_SCHEMA_VERSIONS)
            self._add_problem(
                "schema_version",
                f"{version!r} is not supported by this release",
                f"use one of {known}, or upgrade to a release that supports it",
            )

    def _check_name(self, field, value):
        if not isinstance(value, str) or not _NAME.fullmatch(value):
            self._add_problem(
                field,
                f"{value!r} is not a valid name",
                "use 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or "
                "digit",
            )

    def _list_at(self, field, document, is_required, path=""):
        value = document.get(field, [])
        path = path or field
        if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
            self._add_problem(
                path, "is not a list of tables", f"write [[{field}]] tables"
            )
            return []
        if is_required and not value:
            self._add_problem(path, "is missing", f"add at least one [[{field}]] table")
        return value

    def _check_places(self):
        seen = self._zones
        for index, place in enumerate(self._list_at("place", self._document, True)):
            self._check_name(f"place[{index}].zone", place.get("zone"))
            self._check_name(f"place[{index}].region", place.get("region"))
            self._check_unique(f"place[{index}].zone", place.get("zone"), seen)

    def _check_unique(self, field, value, seen):
        if not isinstance(value, str):
            return
        if value in seen:
            self._add_problem(
                field, f"{value!r} is used more than once", "use unique names"
            )
        seen.add(value)

    def _check_services(self):
        seen = set()
        upstream_names = set()
        for index, service in enumerate(self._list_at("service", self._document, True)):
            path = f"service[{index}]"
            self._check_name(f"{path}.name", service.get("name"))
            self._check_unique(f"{path}.name", service.get("name"), seen)
            self._check_schema_versions(path, service)
            self._check_int(f"{path}.replica_wait_ms", service, 0, 10_000)
            self._check_int(f"{path}.max_queued", service, 1, 10_000)
            self._check_upstreams(path, service, upstream_names)

    def _check_schema_versions(self, path, service):
        versions = service.get("schema_versions", [1])
        is_valid = isinstance(versions, list) and versions
        if not is_valid or not all(type(v) is int and v > 0 for v in versions):
            field = f"{path}.schema_versions"
            remedy = "list positive whole numbers, such as [1, 2]"
            self._add_problem(field, f"{versions!r} is not a list of versions", remedy)

    def _check_int(self, field, document, minimum, maximum):
        name = field.rpartition(".")[2]
        if name not in document:
            return
        value = document[name]
        if type(value) is not int or not minimum <= value <= maximum:
            remedy = f"use a whole number from {minimum} to {maximum}"
            self._add_problem(field, f"{value!r} is out of range", remedy)

    def _check_upstreams(self, path, service, names):
        upstream_path = f"{path}.upstream"
        upstreams = self._list_at("upstream", service, True, upstream_path)
        own_names = []
        for index, upstream in enumerate(upstreams):
            field = f"{upstream_path}[{index}]"
            self._check_name(f"{field}.name", upstream.get("name"))
            self._check_unique(f"{field}.name", upstream.get("name"), names)
            self._check_address(f"{field}.address", upstream.get("address"))
            self._check_zone(f"{field}.zone", upstream.get("zone"))
            self._check_int(f"{field}.slots", upstream, 1, 1_000)
            self._check_int(f"{field}.max_connections", upstream, 10, 10_000)
            own_names.append(upstream.get("name"))
        primary = service.get("initial_primary")
        if primary is not None and primary not in own_names:
            remedy = f"name one of {', '.join(map(str, own_names))}"
            self._add_problem(
                f"{path}.initial_primary",
                f"{primary!r} is not an upstream of the service",
                remedy,
            )

    def _check_address(self, field, value):
        if not isinstance(value, str) or not _ADDRESS.fullmatch(value):
            remedy = "use an IP address and a port, such as 10.0.0.5:3306"
            self._add_problem(field, f"{value!r} is not a valid address", remedy)

    def _check_zone(self, field, value):
        if not isinstance(value, str) or value not in self._zones:
            remedy = f"use a declared zone: {', '.join(sorted(self._zones))}"
            self._add_problem(field, f"{value!r} is not a declared zone", remedy)


def _locate_fields(text):
    """Return a map from each field path of a TOML text to its line number."""
    lines = {}
    counts = {}
    prefix = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = _TABLE_HEADER.match(line)
        if header:
            prefix = _header_path(header, counts)
            lines[prefix] = number
            continue
        key = _KEY_ASSIGNMENT.match(line)
        if key:
            lines[f"{prefix}.{key.group(1)}" if prefix else key.group(1)] = number
    return lines


def _header_path(header, counts):
    """Return the field path of a table header; tables of an array get an index."""
    path = ""
    parts = header.group(2).split(".")
    for depth, part in enumerate(parts):
        path = f"{path}.{part}" if path else part
        is_last = depth == len(parts) - 1
        if is_last and header.group(1) == "[[":
            counts[path] = counts.get(path, -1) + 1
        if path in counts:
            path = f"{path}[{counts[path]}]"
    return path
