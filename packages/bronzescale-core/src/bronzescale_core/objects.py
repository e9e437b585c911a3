"""Cache the store's objects on a node; the version of an object never decreases."""

from typing import Any, NamedTuple

# Kinds whose versions are not revisions of the store.
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
        Store revision of the object's last change.
    value : Any
        JSON value; None for a deleted object.
    """

    kind: str
    name: str
    version: int
    value: Any


class ObjectCache:
    """Objects known to a node, and the revision up to which it knows every change.

    A watch delivers changes without gaps and advances the revision. An object
    that is pushed on its own is stored but does not advance it, since earlier changes
    may still be missing.
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
        found = (obj for (k, _), obj in self._objects.items() if k == kind)
        return [obj for obj in found if obj.value is not None]

    def put(self, candidate):
        """Store an object unless the same or a newer version is known.

        Parameters
        ----------
        candidate : StoreObject
            The object.

        Returns
        -------
        bool
            Whether it was stored.
        """
        key = (candidate.kind, candidate.name)
        known = self._objects.get(key)
        if known is not None and known.version >= candidate.version:
            return False
        self._objects[key] = candidate
        return True

    def apply_changes(self, changes, since, revision):
        """Store all changes between two revisions.

        Parameters
        ----------
        changes : iterable of StoreObject
            Newest version of each object changed after ``since``.
        since : int
            Revision after which the changes begin.
        revision : int
            Revision of the last change.

        Returns
        -------
        list of StoreObject
            Objects that were newer than the known ones.
        """
        stored = [obj for obj in changes if self.put(obj)]
        if since <= self._revision < revision:
            self._revision = revision
        return stored

    def changed_since(self, revision):
        """Return the objects whose last change is after a revision.

        Parameters
        ----------
        revision : int
            Revision that the requesting node has; 0 for a node that just started.

        Returns
        -------
        list of StoreObject
            Includes objects of `LOCAL_KINDS`, whose versions are not revisions of the
            store, only for a node that just started.
        """
        found = [obj for obj in self._objects.values() if obj.version > revision]
        if revision:
            found = [obj for obj in found if obj.kind not in LOCAL_KINDS]
        return found
