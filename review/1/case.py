"""A job call held up by a cut starts the job's tasks after the job was run elsewhere."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import loopback as lib  # noqa: E402

CUT_S = 1.9
JOBS = 4


async def case(new_site, trouble, record):
    site = new_site({"suva-a": 3, "lautoka-c": 1}, 8, relays=True)
    await site.start()
    if not await site.wait_ready():
        print("the site did not become ready")
        return 2
    await asyncio.sleep(3)
    owner = site.owner("suva-a")
    entry = next(v for v in site.vms if v.zone == "suva-a" and v is not owner)
    far = site.owner("lautoka-c")
    if far is not site.vm("lautoka-c-1"):
        return 2
    record.add("roles", owner=owner.name, entry=entry.name, far=far.name)
    tasks = set()

    def send(*args, **kwargs):
        task = asyncio.create_task(site.submit(*args, **kwargs))
        tasks.add(task)
        return task

    # Jobs that fill the zone of the entry VM, so that others go to the far zone.
    for _ in range(8):
        send(owner, lib.new_id(), 2600, 2, 1500, 6000)
    await asyncio.sleep(0.6)
    for _ in range(8):
        send(entry, lib.new_id(), 150, 2, 150, 1500)
    await asyncio.sleep(0.8)
    if trouble:
        far.relay.begin_cut()
        record.add("cut", zone="lautoka-c")
    jobs = [lib.new_id() for _ in range(JOBS)]
    sent = record.now()
    clients = [send(entry, i, 4000, 1, 2500, 6000) for i in jobs]
    await asyncio.sleep(CUT_S)
    if trouble:
        far.relay.end_cut()
        record.add("healed", zone="lautoka-c")
    answers = await asyncio.gather(*clients)
    await asyncio.sleep(0.5)
    pairs = site.twice()
    for a, b in pairs:
        record.add("TWICE", task=a["task"], first=f"{a['run']}@{a['minion'].id}:{a['start']:.4f}-{a['end']:.4f}",
                   second=f"{b['run']}@{b['minion'].id}:{b['start']:.4f}-{b['end']:.4f}")
    zones = [(r["minion"].zone, round(r["start"] - sent, 3)) for r in site.runs if r["task"].split(".")[0] in jobs]
    print(f"answers {answers}, runs {zones}, tasks with two runs at once: {len({a['task'] for a, _ in pairs})}")
    return 1 if pairs else 0


lib.main(case)
