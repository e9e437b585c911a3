"""Speak to the platform's object API over HTTP and JSON."""

import json
import logging
from typing import NamedTuple

import httpx

from bronzescale_core.objects import StoreObject
from bronzescale_core.rendezvous import Node
from bronzescale_proxy.exceptions import StoreConflictError, StoreUnavailableError

logger = logging.getLogger("bronzescale.store")

CALL_TIMEOUT_S = 1.2
WATCH_TIMEOUT_MS = 20_000


class Changes(NamedTuple):
    """What a watch returned.

    Parameters
    ----------
    revision : int
        Revision that the changes reach.
    objects : list of StoreObject
        Newest version of each changed object.
    """

    revision: int
    objects: list


class HostList(NamedTuple):
    """The platform's list of hosts, which lags.

    Parameters
    ----------
    nodes : list of Node
        Proxies.
    leaving_nodes : set of str
        Proxies marked as leaving.
    leaving_upstreams : set of str
        Databases marked as leaving.
    """

    nodes: list
    leaving_nodes: set
    leaving_upstreams: set


class PlatformStore:
    """Client of the platform's object API.

    Parameters
    ----------
    client : httpx.AsyncClient
        Client with the base URL of the API.
    """

    def __init__(self, client):
        self._client = client
        self.calls_total = 0
        self.failures_total = 0

    async def read(self, kind, name):
        """Return one object.

        Parameters
        ----------
        kind, name : str
            Key of the object.

        Returns
        -------
        StoreObject or None

        Raises
        ------
        StoreUnavailableError
            If the store did not answer.
        """
        response = await self._call("GET", f"/objects/{kind}/{name}")
        if response.status_code == 404:
            return None
        return _load_object(_json(response))

    async def update(self, kind, name, value, if_version):
        """Write an object if it still has a version.

        Parameters
        ----------
        kind, name : str
            Key of the object.
        value : dict
            New JSON value.
        if_version : int
            Version that it must have; 0 for an object that must not exist.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        StoreConflictError
            If it has another version.
        StoreUnavailableError
            If no answer came; the change may have taken effect.
        """
        response = await self._call(
            "PUT",
            f"/objects/{kind}/{name}",
            params={"if_version": if_version},
            content=json.dumps(value),
        )
        if response.status_code == 409:
            version = _json(response)["version"]
            raise StoreConflictError(
                f"{kind}/{name} is at version {version}, not {if_version}; "
                "read it again",
                version,
            )
        return _json(response)["version"]

    async def changes(self, since, wait_ms=0):
        """Return what changed after a revision, waiting for it if need be.

        Parameters
        ----------
        since : int
            Revision known already.
        wait_ms : int, default=0
            How long the store may hold the answer back for a change.

        Returns
        -------
        Changes
        """
        response = await self._call(
            "GET",
            "/changes",
            params={"since": since, "wait_ms": wait_ms},
            timeout=CALL_TIMEOUT_S + wait_ms / 1_000,
        )
        document = _json(response)
        objects = [_load_object(each) for each in document["objects"]]
        return Changes(document["revision"], objects)

    async def hosts(self, zone):
        """Return the platform's lagging list of hosts.

        Parameters
        ----------
        zone : str
            Zone of the asking node.

        Returns
        -------
        HostList
        """
        document = _json(await self._call("GET", "/hosts", params={"zone": zone}))
        nodes = [
            Node(
                each["name"],
                each["address"],
                each["zone"],
                each["region"],
                admin_address=each.get("admin_address", ""),
            )
            for each in document["nodes"]
        ]
        leaving = {each["name"] for each in document["nodes"] if each.get("is_leaving")}
        return HostList(nodes, leaving, set(document.get("leaving_upstreams", [])))

    async def _call(self, method, path, timeout=CALL_TIMEOUT_S, **options):
        self.calls_total += 1
        try:
            response = await self._client.request(
                method, path, timeout=timeout, **options
            )
        except httpx.HTTPError as error:
            self.failures_total += 1
            raise StoreUnavailableError(
                f"the store did not answer {method} {path}: {type(error).__name__}"
            ) from error
        if response.status_code >= 500:
            self.failures_total += 1
            raise StoreUnavailableError(
                f"the store answered {method} {path} with {response.status_code}"
            )
        return response


def _json(response):
    try:
        return response.json()
    except ValueError as error:
        raise StoreUnavailableError("the store's answer is not JSON") from error


def _load_object(document):
    return StoreObject(
        document["kind"], document["name"], document["version"], document["value"]
    )
