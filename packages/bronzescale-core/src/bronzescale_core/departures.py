"""Remember which databases were leaving when the store returned from an older copy.

The copy may list a database as ready that had reported that it leaves, until the
database writes its entry again. Nodes that read the lost report tell the others, also
those that start after the return. The newest entry of a database, by version, decides;
an entry of the current era counts as the database's own word once it has changed within
the era, since it cannot be the copy's then.
"""

from typing import Any, NamedTuple

from bronzescale_core.store_era import era_of

# A copy of the store is some seconds old, so a database that left earlier than this is
# not in it.
KEEP_MS = 600_000


class Entry(NamedTuple):
    """What an entry of a database says about its leaving.

    Parameters
    ----------
    item : StoreObject
        The stored object.
    incarnation : int
        Start time of the database, in ms since 1970.
    is_leaving : bool
        Whether the database must not get new work.
    """

    item: Any
    incarnation: int
    is_leaving: bool


class Departures:
    """Entries of the databases that have been leaving, as one node knows them."""

    def __init__(self):
        # Newest own word of each database that has been leaving.
        self._records = {}
        # Entries that may be the copy's: the first known ones of an era.
        self._unconfirmed = {}
        self._expires_ms = {}

    def record(self, item, copy, previous_version):
        """Record an entry that is newer than the known one.

        Parameters
        ----------
        item : StoreObject
            The stored object.
        copy : Copy
            The database that it describes.
        previous_version : int
            Version of the entry that it replaces, which may be a deletion; 0 if none
            was known.
        """
        entry = Entry(item, copy.incarnation, copy.is_leaving)
        self._expires_ms.pop(copy.instance, None)
        is_confirmed = previous_version > 0 and (
            era_of(previous_version) == era_of(item.version)
        )
        if is_confirmed:
            self._unconfirmed.pop(copy.instance, None)
        else:
            self._unconfirmed[copy.instance] = entry
        record = self._records.get(copy.instance)
        is_own_word = record is not None and (
            is_confirmed or copy.incarnation > record.incarnation
        )
        if copy.is_leaving or is_own_word:
            self._records[copy.instance] = entry

    def learn(self, item, copy):
        """Learn an entry from before the store's return, as another node tells it.

        Parameters
        ----------
        item : StoreObject
            Object of an older era than the known one.
        copy : Copy
            The database that it describes.

        Returns
        -------
        bool
            Whether `resolve` may answer differently now.
        """
        current = self._unconfirmed.get(copy.instance)
        if current is None or era_of(item.version) >= era_of(current.item.version):
            return False
        record = self._records.get(copy.instance)
        if record is not None and record.item.version >= item.version:
            return False
        self._records[copy.instance] = Entry(item, copy.incarnation, copy.is_leaving)
        return True

    def resolve(self, copy):
        """Return the database with `is_leaving` set if it was leaving before.

        Parameters
        ----------
        copy : Copy
            The database as its newest entry describes it.

        Returns
        -------
        Copy
        """
        is_retained = copy.instance in self._unconfirmed and self._is_retained(
            copy.instance, copy.incarnation
        )
        return copy._replace(is_leaving=copy.is_leaving or is_retained)

    def forget(self, instance, now_ms):
        """Note that the entry of a database is gone; drop old records.

        Parameters
        ----------
        instance : str
            Id of the database.
        now_ms : int
            Current time.
        """
        self._unconfirmed.pop(instance, None)
        if instance in self._records:
            self._expires_ms.setdefault(instance, now_ms + KEEP_MS)
        for expired in [i for i, at_ms in self._expires_ms.items() if at_ms <= now_ms]:
            del self._expires_ms[expired]
            del self._records[expired]

    def lost_items(self):
        """Return the objects of older eras that other nodes must know.

        Returns
        -------
        list of StoreObject
        """
        return [
            record.item
            for instance, record in self._records.items()
            if self._is_lost(instance, record)
        ]

    def digest(self):
        """Return a number that differs between nodes that retain different entries."""
        return sum(
            self._records[instance].item.version
            for instance, entry in self._unconfirmed.items()
            if not entry.is_leaving and self._is_retained(instance, entry.incarnation)
        )

    def _is_lost(self, instance, record):
        current = self._unconfirmed.get(instance)
        return current is not None and (
            era_of(record.item.version) < era_of(current.item.version)
        )

    def _is_retained(self, instance, incarnation):
        record = self._records.get(instance)
        return (
            record is not None
            and record.is_leaving
            and record.incarnation == incarnation
        )
