"""Client of the platform's object API, which is JSON over HTTP."""

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
    """Changes that a watch returned.

    Parameters
    ----------
    revision : int
        Revision up to which the changes are complete.
    objects : list of StoreObject
        Newest version of each changed object.
    """

    revision: int
    objects: list


class HostList(NamedTuple):
    """The platform's list of hosts, which is updated with a delay.

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
        return _load_object(_parse_json(response))

    async def update(self, kind, name, value, if_version):
        """Write an object if its version is the expected one.

        Parameters
        ----------
        kind, name : str
            Key of the object.
        value : dict
            New JSON value.
        if_version : int
            Expected version; 0 if the object must not exist yet.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        StoreConflictError
            If the object has another version.
        StoreUnavailableError
            If the store did not answer; the update may have taken effect.
        """
        response = await self._call(
            "PUT",
            f"/objects/{kind}/{name}",
            params={"if_version": if_version},
            content=json.dumps(value),
        )
        if response.status_code == 409:
            version = _parse_json(response)["version"]
            raise StoreConflictError(
                f"{kind}/{name} is at version {version}, not {if_version}; "
                "read it again",
                version,
            )
        return _parse_json(response)["version"]

    async def changes(self, since, wait_ms=0):
        """Return the changes after a revision, waiting for one if there is none yet.

        Parameters
        ----------
        since : int
            Revision that is known already.
        wait_ms : int, default=0
            How long the store may wait for a change before it answers.

        Returns
        -------
        Changes

        Raises
        ------
        StoreUnavailableError
            If the store did not answer.
        """
        response = await self._call(
            "GET",
            "/changes",
            params={"since": since, "wait_ms": wait_ms},
            timeout=CALL_TIMEOUT_S + wait_ms / 1_000,
        )
        document = _parse_json(response)
        objects = [_load_object(each) for each in document["objects"]]
        return Changes(document["revision"], objects)

    async def hosts(self, zone):
        """Return the platform's list of hosts, which may be out of date.

        Parameters
        ----------
        zone : str
            Zone of the asking node.

        Returns
        -------
        HostList

        Raises
        ------
        StoreUnavailableError
            If the store did not answer.
        """
        document = _parse_json(await self._call("GET", "/hosts", params={"zone": zone}))
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


def _parse_json(response):
    try:
        return response.json()
    except ValueError as error:
        raise StoreUnavailableError("the store's answer is not JSON") from error


def _load_object(document):
    return StoreObject(
        document["kind"], document["name"], document["version"], document["value"]
    )
