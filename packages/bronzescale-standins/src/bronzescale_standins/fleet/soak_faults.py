"""Faults that the soak test injects from outside of the fleet's processes.

The name of each function is the name of the fault on the command line and in histories.
"""

import signal

import anyio

from bronzescale_core.groups import GroupState, dump_group
from bronzescale_standins.fleet.objects import RawValue


def _sample_members(soak, rng, max_count=2):
    count = rng.randint(1, max_count)
    return rng.sample(soak.members, min(count, len(soak.members)))


async def kill(soak, rng):
    """Kill one or two processes and restart them."""
    members = _sample_members(soak, rng)
    for member in members:
        member.send_signal(signal.SIGKILL)
    await anyio.sleep(rng.uniform(0.2, 2.0))
    for member in members:
        member.start()


async def kill_all(soak, rng):
    """Kill every process at once and restart them."""
    for member in soak.members:
        member.send_signal(signal.SIGKILL)
    await anyio.sleep(rng.uniform(0.2, 1.0))
    for member in soak.members:
        member.start()


async def stop(soak, rng):
    """Stop a process gracefully and restart it."""
    (member,) = _sample_members(soak, rng, 1)
    member.send_signal(signal.SIGTERM)
    with anyio.move_on_after(8):
        while member.process.poll() is None:
            await anyio.sleep(0.05)
    member.start()


async def pause(soak, rng):
    """Suspend one or two processes for a few seconds."""
    members = _sample_members(soak, rng)
    for member in members:
        member.send_signal(signal.SIGSTOP)
    await anyio.sleep(rng.uniform(0.3, 4.0))
    for member in members:
        member.send_signal(signal.SIGCONT)


async def reload(soak, rng):
    """Make some processes reload their settings."""
    for member in _sample_members(soak, rng, 3):
        member.send_signal(signal.SIGHUP)


async def _cut(soak, rng, pairs):
    """Cut links for a few seconds; other faults may cut further links meanwhile."""
    soak.links.cut(soak.links.cuts | pairs)
    await anyio.sleep(rng.uniform(0.5, 5.0))
    soak.links.cut(soak.links.cuts - pairs)


async def cut_database(soak, rng):
    """Stop forwarding on every connection to a database, without closing any."""
    name = rng.choice(sorted(soak.group.databases))
    await _cut(soak, rng, {frozenset(("fleet", name))})


async def cut_store(soak, rng):
    """Cut the links between some processes and the store."""
    pairs = {frozenset((m.name, "store")) for m in _sample_members(soak, rng, 4)}
    await _cut(soak, rng, pairs)


async def delay_database(soak, rng):
    """Delay all data to and from a database."""
    name = rng.choice(sorted(soak.group.databases))
    pair = frozenset(("fleet", name))
    soak.links.one_way_ms[pair] = rng.uniform(20, 150)
    await anyio.sleep(rng.uniform(1, 4))
    soak.links.one_way_ms.pop(pair, None)


async def crash_database(soak, rng):
    """Crash a database and restart it with its log."""
    name = rng.choice(sorted(soak.group.databases))
    database = soak.group.databases[name]
    if not database.is_running:
        return
    database.stop()
    await anyio.sleep(rng.uniform(1.0, 6.0))
    if not database.is_running:
        if soak.group.primary() is not database:
            database.is_primary = False
        await soak.start_database(database)


async def restart_database(soak, rng):
    """Crash a database for a moment; it starts again under its id, with its log."""
    database = soak.group.databases[rng.choice(sorted(soak.group.databases))]
    if not database.is_running:
        return
    database.stop()
    await anyio.sleep(rng.uniform(0.2, 0.5))
    if not database.is_running:
        database.started_at_ms += 1_000
        if soak.group.primary() is not database:
            database.is_primary = False
        await soak.start_database(database)


async def silence_database(soak, rng):
    """Make a database hang while its connections stay open."""
    database = soak.group.databases[rng.choice(sorted(soak.group.databases))]
    database.is_silent = True
    await anyio.sleep(rng.uniform(0.5, 4.0))
    database.is_silent = False


async def deafen_replica(soak, rng):
    """Stop replication to a database for a few seconds."""
    database = soak.group.databases[rng.choice(sorted(soak.group.databases))]
    database.is_replication_stopped = True
    await anyio.sleep(rng.uniform(1, 5))
    database.is_replication_stopped = False


async def lose_answers(soak, rng):
    """Close connections of databases instead of answering statements that ran."""
    for database in soak.group.databases.values():
        database.lose_next_answers = rng.randint(0, 3)


async def store_down(soak, rng):
    """Make the store answer every call with an error."""
    soak.platform.faults.is_down = True
    await anyio.sleep(rng.uniform(0.5, 4))
    soak.platform.faults.is_down = False


async def store_slow(soak, rng):
    """Delay every answer of the store."""
    soak.platform.faults.delay_s = rng.uniform(0.1, 0.4)
    await anyio.sleep(rng.uniform(1, 4))
    soak.platform.faults.delay_s = 0.0


async def store_loses_answers(soak, rng):
    """Lose the answers of store writes that took effect."""
    soak.platform.faults.lose_next_write_answers = rng.randint(1, 3)


async def store_loses_watches(soak, rng):
    """Lose the answers of watches while configurations follow each other."""
    lost = soak.platform.faults.kinds_with_lost_watches
    kinds = set(rng.sample(("config", "servers", "bronzescale-groups"), 2))
    lost.update(kinds)
    for _ in range(rng.randint(2, 6)):
        soak.world.configure()
        await anyio.sleep(0.33)
    lost.difference_update(kinds)


async def write_foreign_entries(soak, rng):
    """Let another program write objects that cannot be used, and delete them later."""
    keys = put_foreign_entries(soak.platform, rng)
    await anyio.sleep(rng.uniform(0.5, 4))
    for kind, name in keys:
        soak.platform.delete(kind, name)


def put_foreign_entries(platform, rng):
    """Write entries of each kind that cannot be read or used; return their keys."""
    unreadable = {
        "deep": RawValue(b'{"slots": ' + b"[" * 2_000 + b"]" * 2_000 + b"}"),
        "digits": RawValue(b'{"slots": ' + b"9" * 5_000 + b"}"),
        "encoding": RawValue(b'{"service": "\xff\xfe"}'),
        "type": {"service": 5, "slots": []},
    }
    host = {"zone": rng.choice("abcz"), "region": "north"}
    hosts = {
        "no-address": {**host, "address": "nowhere"},
        "port": {**host, "address": "127.0.0.1:99999"},
        "gone": {**host, "address": "127.0.0.1:1"},
    }
    group = dump_group(GroupState("svc", 2**40, "d9"))
    groups = {"other": group, "term": {**group, "service": "term", "term": 2**70}}
    keys = []
    for kind, values in (
        ("servers", unreadable),
        ("bronzescale-hosts", {**unreadable, **hosts}),
        ("bronzescale-groups", {**unreadable, **groups}),
    ):
        for name in rng.sample(sorted(values), 2):
            platform.put(kind, name, values[name])
            keys.append((kind, name))
    return keys


async def store_forgets(soak, rng):
    """Discard the store's history, so that watches must list again."""
    soak.platform.compact()


async def store_restored(soak, rng):
    """Return the store from a copy some seconds old, at times twice in a row."""
    for _ in range(rng.choice((1, 1, 2))):
        await soak.world.restore_store(
            rng.uniform(0.2, 8.0), rng.uniform(0.0, 2.0), rng.uniform(0.1, 1.0)
        )


async def configure(soak, rng):
    """Change the configuration several times in a row."""
    for _ in range(rng.randint(1, 4)):
        soak.world.configure(tx_idle_ms=rng.choice((2_000, 3_000)))
        await anyio.sleep(0.2)


async def change_keys(soak, rng):
    """Withdraw a key of a customer and issue a new one, or move one to another."""
    customers = soak.world.customers
    if not customers:
        return
    name, other = rng.sample(sorted(customers), 2)
    key = customers[name].pop(0)
    customers[name].append(f"{name}-{soak.world.version}")
    if rng.random() < 0.3:
        customers[other].append(key)
    soak.world.configure()


async def replace_primary(soak, rng):
    """Announce that the primary is draining, and withdraw that later."""
    primary = soak.group.primary()
    if primary is None:
        return
    primary.is_leaving = True
    await anyio.sleep(5)
    primary.is_leaving = False


FAULTS = {
    function.__name__: function
    for function in (
        kill,
        kill_all,
        stop,
        pause,
        reload,
        cut_database,
        cut_store,
        delay_database,
        crash_database,
        restart_database,
        silence_database,
        deafen_replica,
        lose_answers,
        store_down,
        store_slow,
        store_loses_answers,
        store_loses_watches,
        write_foreign_entries,
        store_forgets,
        store_restored,
        configure,
        change_keys,
        replace_primary,
    )
}
