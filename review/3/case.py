"""The next owner of a shard doesn't stop the runs that the previous one was stopping."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import loopback as lib  # noqa: E402

LATE_SHARE = float(os.environ.get("LATE_SHARE", "0.055"))
STOPS = int(os.environ.get("STOPS", "5"))
RATE = 13.0


async def case(new_site, trouble, record):
    site = new_site({"suva-a": 3, "nadi-b": 2, "lautoka-c": 1}, 16)
    await site.start()
    if not await site.wait_ready():
        print("the site did not become ready")
        return 2
    await asyncio.sleep(3)
    answers = {}

    async def client():
        """Sends a job whose tasks take far longer than estimated, and again after a 504."""
        ident = lib.new_id()
        home = [v for v in site.vms if v.zone == "suva-a" and v.running()]
        answer = await site.submit(random.choice(home), ident, 8000, 10, 1500, 2500, cpu=1400)
        answers[answer] = answers.get(answer, 0) + 1
        if answer in ("504", "502", "broken", "deadline"):
            await asyncio.sleep(lib.RETRANSMIT_S)
            away = [v for v in site.vms if v.zone == "nadi-b"]
            await site.submit(random.choice(away), ident, 8000, 10, 1500, 2500, cpu=1400)

    clients = set()

    async def stream():
        while True:
            task = asyncio.create_task(client())
            clients.add(task)
            task.add_done_callback(clients.discard)
            await asyncio.sleep(1 / RATE)

    load = asyncio.create_task(stream())
    await asyncio.sleep(4)
    for _ in range(STOPS):
        owner = site.owner("suva-a")
        if owner is None:
            return 2
        if trouble:
            # Workers leave orders unanswered and carry them out late.
            site.order_fault = lambda minion, target, order: random.random() < LATE_SHARE
            await asyncio.sleep(1.5)
        owner.signal(signal.SIGTERM)
        await asyncio.sleep(4)
        site.order_fault = None
        await asyncio.sleep(1)
        if owner.running():
            owner.signal(signal.SIGKILL)
            owner.process.wait()
        owner.start()
        await asyncio.sleep(4)
    load.cancel()
    await asyncio.sleep(3)
    pairs = site.twice()
    for a, b in pairs:
        record.add("TWICE", task=a["task"], first=f"{a['run']}@{a['minion'].id}:{a['start']:.3f}-{a['end']}",
                   second=f"{b['run']}@{b['minion'].id}:{b['start']:.3f}-{b['end']}")
    print(f"answers {answers}, tasks with two runs at once: {len({a['task'] for a, _ in pairs})}")
    return 1 if pairs else 0


lib.main(case)
