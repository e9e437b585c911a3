"""HTTP clients of the platform's store and of the nodes' admin listeners."""

import json
from typing import NamedTuple

import httpx

from bronzescale_ctl.exceptions import (
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
)

REQUEST_TIMEOUT_S = 3.0


class Versioned(NamedTuple):
    """An object of the store with its version.

    Parameters
    ----------
    version : int
        Version; 0 for an object that does not exist.
    value : dict or None
        JSON value; None for an object that does not exist.
    """

    version: int
    value: object


class NodeAddress(NamedTuple):
    """Address of a node's admin listener.

    Parameters
    ----------
    name : str
        Name of the node.
    zone : str
        Availability zone of the node.
    admin_address : str
        IP address and port of the admin listener.
    """

    name: str
    zone: str
    admin_address: str


class PlatformClient:
    """Client of the platform's object API.

    Every request raises `PlatformUnavailableError` if the store does not respond or
    responds with a server error.

    Parameters
    ----------
    url : str
        Base URL of the API.
    """

    def __init__(self, url):
        self._http = httpx.Client(
            base_url=url, timeout=REQUEST_TIMEOUT_S, trust_env=False
        )

    def close(self):
        """Close the HTTP connections."""
        self._http.close()

    def read(self, kind, name):
        """Return an object and its version; the version is 0 if it does not exist.

        Parameters
        ----------
        kind, name : str
            Key.

        Returns
        -------
        Versioned
        """
        response = self._call("GET", f"/objects/{kind}/{name}")
        if response.status_code == 404:
            return Versioned(0, None)
        document = response.json()
        return Versioned(document["version"], document["value"])

    def update(self, kind, name, value, if_version):
        """Write an object if its version still matches.

        If the response is lost, read the object back to find out whether the write
        took effect. A conflict with an identical value counts as success.

        Parameters
        ----------
        kind, name : str
            Key.
        value : dict
            New value.
        if_version : int
            Version that the object must have; 0 creates it.

        Returns
        -------
        int
            New version of the object.

        Raises
        ------
        ConflictError
            If another operator changed the object first.
        PlatformUnavailableError
            If the store did not respond and does not hold the change.
        """
        try:
            response = self._call(
                "PUT",
                f"/objects/{kind}/{name}",
                params={"if_version": if_version},
                content=json.dumps(value),
            )
        except PlatformUnavailableError:
            return self._confirm_update(kind, name, value, if_version)
        if response.status_code == 409:
            found = self.read(kind, name)
            if found.value == value:
                return found.version
            raise ConflictError(
                f"{kind}/{name} is at version {found.version}, but this change was "
                f"made from version {if_version}; get the current version, merge the "
                "change and apply it again"
            )
        return response.json()["version"]

    def nodes(self):
        """Return the nodes that the platform lists.

        Returns
        -------
        list of NodeAddress
        """
        entries = self._call("GET", "/hosts").json()["nodes"]
        return [
            NodeAddress(entry["name"], entry["zone"], entry.get("admin_address", ""))
            for entry in entries
        ]

    def _confirm_update(self, kind, name, value, if_version):
        """Return the new version if a write took effect whose response was lost."""
        found = self.read(kind, name)
        if found.value == value and found.version > if_version:
            return found.version
        raise PlatformUnavailableError(
            f"the store did not respond and {kind}/{name} is at version "
            f"{found.version} without this change; apply it again"
        )

    def _call(self, method, path, **options):
        try:
            response = self._http.request(method, path, **options)
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(
                f"the store did not respond ({type(error).__name__}); check "
                "BRONZESCALE_PLATFORM_URL, or wait until the platform is back"
            ) from error
        if response.status_code >= 500:
            raise PlatformUnavailableError(
                f"the store responded with status {response.status_code}; wait until "
                "it is back"
            )
        return response


class NodeClient:
    """Client of one node's admin listener.

    Parameters
    ----------
    address : NodeAddress
        Address of the listener.
    """

    def __init__(self, address):
        self._address = address
        self._url = f"http://{address.admin_address}"

    def dump(self):
        """Return the state of the node, or None if it does not respond.

        Returns
        -------
        dict or None
        """
        try:
            response = httpx.get(
                f"{self._url}/dump", timeout=REQUEST_TIMEOUT_S, trust_env=False
            )
            return response.json()
        except (httpx.HTTPError, ValueError):
            return None

    def post(self, path, **options):
        """Send a POST request.

        Parameters
        ----------
        path : str
            Path of the admin operation.
        **options : dict
            Query parameters.

        Returns
        -------
        httpx.Response

        Raises
        ------
        NotFoundError
            If the node does not respond.
        """
        try:
            return httpx.post(
                f"{self._url}{path}",
                params=options,
                timeout=REQUEST_TIMEOUT_S,
                trust_env=False,
            )
        except httpx.HTTPError as error:
            raise NotFoundError(
                f"node {self._address.name} does not respond at "
                f"{self._address.admin_address}; see bronzescalectl status"
            ) from error
