"""A caller's cancel is lost with a silent connection between two VMs."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import loopback as lib  # noqa: E402

JOBS = 4


async def case(new_site, trouble, record):
    site = new_site({"suva-a": 3, "nadi-b": 2, "lautoka-c": 1}, 8, relays=True)
    await site.start()
    if not await site.wait_ready():
        print("the site did not become ready")
        return 2
    await asyncio.sleep(3)
    owner = site.owner("suva-a")
    entry = next(v for v in site.vms if v.zone == "suva-a" and v is not owner)
    other = site.owner("nadi-b")
    if other is None:
        return 2
    record.add("roles", owner=owner.name, entry=entry.name, other=other.name)
    # Jobs that reach their owner through another VM of the zone.
    jobs = [lib.new_id() for _ in range(JOBS)]

    async def client(ident):
        answer = await site.submit(entry, ident, 4000, 2, 2500, 6000, breaks=0.8)
        if answer in ("broken", "deadline", "502", "504"):
            await asyncio.sleep(lib.RETRANSMIT_S)
            return await site.submit(other, ident, 4000, 2, 2500, 6000)
        return answer

    async def others():
        """Other clients of the same VM, all through the trial."""
        while True:
            task = asyncio.create_task(site.submit(entry, lib.new_id(), 150, 1, 150, 1500))
            background.add(task)
            task.add_done_callback(background.discard)
            await asyncio.sleep(0.05)

    background = set()
    stream = asyncio.create_task(others())
    await asyncio.sleep(1)
    clients = [asyncio.create_task(client(i)) for i in jobs]
    await asyncio.sleep(0.4)
    started = {r["task"].split(".")[0] for r in site.runs}
    if not started & set(jobs):
        print("no job was started")
        return 2
    if trouble:
        count = owner.relay.silence()
        record.add("silent", at=owner.name, connections=count)
    answers = await asyncio.gather(*clients)
    stream.cancel()
    await asyncio.sleep(1)
    pairs = site.twice()
    for a, b in pairs:
        record.add("TWICE", task=a["task"], first=f"{a['run']}@{a['minion'].id}:{a['start']:.3f}-{a['end']}",
                   second=f"{b['run']}@{b['minion'].id}:{b['start']:.3f}-{b['end']}")
    print(f"answers {answers}, tasks with two runs at once: {len({a['task'] for a, _ in pairs})}")
    return 1 if pairs else 0


lib.main(case)
