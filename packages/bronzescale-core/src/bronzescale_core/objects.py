"""Keep a node's copy of the store's objects; versions never go back."""

from typing import Any, NamedTuple

LOCAL_KINDS = frozenset(("hosts",))


class StoreObject(NamedTuple):
    """One object of the platform's store.

    Parameters
    ----------
    kind : str
        Collection, such as ``group``.
    name : str
        Key within the kind.
    version : int
        Revision of the store at the object's last change.
    value : Any
        JSON value; None for a deleted object.
    """

    kind: str
    name: str
    version: int
    value: Any


class ObjectCache:
    """Objects known to a node and the revision up to which it knows all.

    A watch delivers changes without gaps and moves the revision. An object pushed
    on its own is taken at once but does not move it.
    """

    def __init__(self):
        self._objects = {}
        self._revision = 0

    @property
    def revision(self):
        """Return the revision up to which every change is known."""
        return self._revision

    def get(self, kind, name):
        """Return an object or None.

        Parameters
        ----------
        kind, name : str
            Key of the object.

        Returns
        -------
        StoreObject or None
        """
        return self._objects.get((kind, name))

    def of_kind(self, kind):
        """Return the objects of a kind that are not deleted.

        Parameters
        ----------
        kind : str
            The kind.

        Returns
        -------
        list of StoreObject
        """
        found = (o for (k, _), o in self._objects.items() if k == kind)
        return [each for each in found if each.value is not None]

    def put(self, candidate):
        """Take an object unless a version at least as new is known.

        Parameters
        ----------
        candidate : StoreObject
            The object.

        Returns
        -------
        bool
            Whether it was newer.
        """
        key = (candidate.kind, candidate.name)
        known = self._objects.get(key)
        if known is not None and known.version >= candidate.version:
            return False
        self._objects[key] = candidate
        return True

    def extend(self, changes, since, revision):
        """Take all changes between two revisions.

        Parameters
        ----------
        changes : iterable of StoreObject
            Newest version of each object changed after ``since``.
        since : int
            Revision that the changes follow.
        revision : int
            Revision that they reach.

        Returns
        -------
        list of StoreObject
            Those that were newer than what was known.
        """
        fresh = [each for each in changes if self.put(each)]
        if since <= self._revision < revision:
            self._revision = revision
        return fresh

    def since(self, revision):
        """Return the objects whose last change is after a revision.

        Parameters
        ----------
        revision : int
            What the asking node knows already; 0 for a node that just started.

        Returns
        -------
        list of StoreObject
            Objects of `LOCAL_KINDS`, whose versions are no revisions of the store,
            only for a node that just started.
        """
        found = [o for o in self._objects.values() if o.version > revision]
        if revision:
            found = [each for each in found if each.kind not in LOCAL_KINDS]
        return found
