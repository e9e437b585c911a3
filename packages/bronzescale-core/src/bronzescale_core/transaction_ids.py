"""Number the open transactions of a process.

Callers' nodes keep a transaction's number while the process that holds the transaction
may start again. A number of one process must therefore never mean a transaction of
another one, nor a later transaction of the same process.
"""

# Numbers cross the wire as signed 64-bit integers; the upper half is left for counting.
START_BITS = 62


class TransactionIds:
    """Numbers of transactions, counted from a random start.

    Parameters
    ----------
    random_bits : callable
        Takes a number of bits and returns a random non-negative integer of at most that
        size, from a source that differs between processes started at the same time.
    """

    def __init__(self, random_bits):
        self._last = random_bits(START_BITS)

    def allocate(self):
        """Return the number of a new transaction, which is above 0.

        Returns
        -------
        int
        """
        self._last += 1
        return self._last
