"""Faults that the soak brings about from outside of the fleet's processes."""

import signal

import anyio


def _some(soak, chooser, most=2):
    count = chooser.randint(1, most)
    return chooser.sample(soak.members, min(count, len(soak.members)))


async def kill(soak, chooser):
    """Kill processes and start them again."""
    members = _some(soak, chooser)
    for member in members:
        member.signal(signal.SIGKILL)
    await anyio.sleep(chooser.uniform(0.2, 2.0))
    for member in members:
        member.start()


async def kill_all(soak, chooser):
    """Kill every process at once."""
    for member in soak.members:
        member.signal(signal.SIGKILL)
    await anyio.sleep(chooser.uniform(0.2, 1.0))
    for member in soak.members:
        member.start()


async def stop(soak, chooser):
    """Stop a process gracefully and start it again."""
    (member,) = _some(soak, chooser, 1)
    member.signal(signal.SIGTERM)
    with anyio.move_on_after(8):
        while member.process.poll() is None:
            await anyio.sleep(0.05)
    member.start()


async def pause(soak, chooser):
    """Suspend processes for a while."""
    members = _some(soak, chooser)
    for member in members:
        member.signal(signal.SIGSTOP)
    await anyio.sleep(chooser.uniform(0.3, 4.0))
    for member in members:
        member.signal(signal.SIGCONT)


async def reload(soak, chooser):
    """Tell processes that their settings changed."""
    for member in _some(soak, chooser, 3):
        member.signal(signal.SIGHUP)


async def _cut(soak, chooser, pairs):
    soak.links.cut(soak.links.cuts | pairs)
    await anyio.sleep(chooser.uniform(0.5, 5.0))
    soak.links.cut(soak.links.cuts - pairs)


async def cut_database(soak, chooser):
    """Silence every connection to a database, open ones too."""
    name = chooser.choice(sorted(soak.group.databases))
    await _cut(soak, chooser, {frozenset(("fleet", name))})


async def cut_store(soak, chooser):
    """Cut processes off from the store."""
    pairs = {frozenset((m.name, "store")) for m in _some(soak, chooser, 4)}
    await _cut(soak, chooser, pairs)


async def delay_database(soak, chooser):
    """Delay every byte to and from a database."""
    name = chooser.choice(sorted(soak.group.databases))
    pair = frozenset(("fleet", name))
    soak.links.one_way_ms[pair] = chooser.uniform(20, 150)
    await anyio.sleep(chooser.uniform(1, 4))
    soak.links.one_way_ms.pop(pair, None)


async def crash_database(soak, chooser):
    """Crash a database; it comes back with its log."""
    name = chooser.choice(sorted(soak.group.databases))
    database = soak.group.databases[name]
    if not database.is_running:
        return
    database.stop()
    await anyio.sleep(chooser.uniform(1.0, 6.0))
    if not database.is_running:
        if soak.group.primary() is not database:
            database.is_primary = False
        await soak.start_database(database)


async def silence_database(soak, chooser):
    """Let a database hang with its connections open."""
    database = soak.group.databases[chooser.choice(sorted(soak.group.databases))]
    database.is_silent = True
    await anyio.sleep(chooser.uniform(0.5, 4.0))
    database.is_silent = False


async def deafen_replica(soak, chooser):
    """Let a replica receive nothing for a while."""
    database = soak.group.databases[chooser.choice(sorted(soak.group.databases))]
    database.is_deaf = True
    await anyio.sleep(chooser.uniform(1, 5))
    database.is_deaf = False


async def lose_answers(soak, chooser):
    """Lose answers of statements that ran."""
    for database in soak.group.databases.values():
        database.lose_next_answers = chooser.randint(0, 3)


async def store_down(soak, chooser):
    """Take the store away."""
    soak.platform.faults.is_down = True
    await anyio.sleep(chooser.uniform(0.5, 4))
    soak.platform.faults.is_down = False


async def store_slow(soak, chooser):
    """Slow the store down."""
    soak.platform.faults.delay_s = chooser.uniform(0.1, 0.4)
    await anyio.sleep(chooser.uniform(1, 4))
    soak.platform.faults.delay_s = 0.0


async def store_loses_answers(soak, chooser):
    """Lose answers of writes that took effect."""
    soak.platform.faults.lose_writes = chooser.randint(1, 3)


async def store_forgets(soak, chooser):
    """Drop the store's history."""
    soak.platform.compact()


async def configure(soak, chooser):
    """Change the configuration a few times in a row."""
    for _ in range(chooser.randint(1, 4)):
        soak.world.configure(tx_idle_ms=chooser.choice((2_000, 3_000)))
        await anyio.sleep(0.2)


async def replace_primary(soak, chooser):
    """Let the primary announce that it leaves, then change its mind."""
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
        silence_database,
        deafen_replica,
        lose_answers,
        store_down,
        store_slow,
        store_loses_answers,
        store_forgets,
        configure,
        replace_primary,
    )
}
