"""Check what the store and peers say of a host before it counts as one."""

from bronzescale_core.field_checks import is_address, is_label, is_whole

# Start times in ms; a process that refutes a rumor raises its own by one.
MAX_INCARNATION = 2**53


def find_host_problem(node):
    """Return why an entry or a rumor describes no host, or None if it does.

    Parameters
    ----------
    node : Node
        Its fields as they were read, of any type.

    Returns
    -------
    str or None
    """
    if not is_label(node.name):
        return "its name is not a printable text"
    if not is_address(node.address):
        return "its address is not an IPv4 address with a port"
    if not is_label(node.zone):
        return "its zone is not a printable text"
    if not is_label(node.region):
        return "its region is not a printable text"
    if not is_whole(node.incarnation, 0, MAX_INCARNATION):
        return f"its incarnation is not a whole number from 0 to {MAX_INCARNATION}"
    if node.admin_address != "" and not is_address(node.admin_address):
        return "its admin address is not an IPv4 address with a port"
    return None
