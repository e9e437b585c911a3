"""Reach the platform's store and the nodes' admin listeners."""

import json
from typing import NamedTuple

import httpx

from bronzescale_ctl.exceptions import (
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
)

TIMEOUT_S = 3.0


class Versioned(NamedTuple):
    """An object of the store with its version.

    Parameters
    ----------
    version : int
        Version; 0 for an object that does not exist.
    value : dict or None
        JSON value.
    """

    version: int
    value: object


class NodeAddress(NamedTuple):
    """Where a node's admin listener is.

    Parameters
    ----------
    name : str
        Name of the node.
    zone : str
        Its availability zone.
    admin_address : str
        IP number and port.
    """

    name: str
    zone: str
    admin_address: str


class PlatformClient:
    """Client of the platform's object API.

    Parameters
    ----------
    url : str
        Its base URL.
    """

    def __init__(self, url):
        self._http = httpx.Client(base_url=url, timeout=TIMEOUT_S, trust_env=False)

    def close(self):
        """Close the connections."""
        self._http.close()

    def read(self, kind, name):
        """Return an object; version 0 if it does not exist.

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
        """Write an object if it still has a version, and settle a lost answer.

        Parameters
        ----------
        kind, name : str
            Key.
        value : dict
            New value.
        if_version : int
            Version that it must have.

        Returns
        -------
        int
            Its version now.

        Raises
        ------
        ConflictError
            If somebody else changed it first.
        PlatformUnavailableError
            If the store did not answer and the change cannot be found there.
        """
        try:
            response = self._call(
                "PUT",
                f"/objects/{kind}/{name}",
                params={"if_version": if_version},
                content=json.dumps(value),
            )
        except PlatformUnavailableError:
            return self._settle(kind, name, value, if_version)
        if response.status_code == 409:
            found = self.read(kind, name)
            if found.value == value:
                return found.version
            raise ConflictError(
                f"{kind}/{name} is at version {found.version}, newer than the "
                f"{if_version} that this change was made from; get it, merge, apply "
                "again"
            )
        return response.json()["version"]

    def nodes(self):
        """Return the proxies that the platform lists.

        Returns
        -------
        list of NodeAddress
        """
        listed = self._call("GET", "/hosts").json()["nodes"]
        return [
            NodeAddress(each["name"], each["zone"], each.get("admin_address", ""))
            for each in listed
        ]

    def _settle(self, kind, name, value, if_version):
        """Read an object back after an answer was lost."""
        found = self.read(kind, name)
        if found.value == value and found.version > if_version:
            return found.version
        raise PlatformUnavailableError(
            f"the store did not answer and {kind}/{name} is at version "
            f"{found.version} without this change; apply it again"
        )

    def _call(self, method, path, **options):
        try:
            response = self._http.request(method, path, **options)
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(
                f"the store did not answer ({type(error).__name__}); check "
                "BRONZESCALE_PLATFORM_URL, or wait until the platform is back"
            ) from error
        if response.status_code >= 500:
            raise PlatformUnavailableError(
                f"the store answered {response.status_code}; wait until it is back"
            )
        return response


class NodeClient:
    """Client of one node's admin listener.

    Parameters
    ----------
    address : NodeAddress
        Where it is.
    """

    def __init__(self, address):
        self._address = address
        self._url = f"http://{address.admin_address}"

    def dump(self):
        """Return the node's state, or None if it does not answer.

        Returns
        -------
        dict or None
        """
        try:
            response = httpx.get(
                f"{self._url}/dump", timeout=TIMEOUT_S, trust_env=False
            )
            return response.json()
        except (httpx.HTTPError, ValueError):
            return None

    def post(self, path, **options):
        """Send an order.

        Parameters
        ----------
        path : str
            Path of the order.
        **options : dict
            Query options.

        Returns
        -------
        httpx.Response

        Raises
        ------
        NotFoundError
            If the node does not answer.
        """
        try:
            return httpx.post(
                f"{self._url}{path}", params=options, timeout=TIMEOUT_S, trust_env=False
            )
        except httpx.HTTPError as error:
            raise NotFoundError(
                f"node {self._address.name} does not answer at "
                f"{self._address.admin_address}; see bronzescalectl status"
            ) from error
