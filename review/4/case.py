"""A VM that takes a shard starts tasks on minions that have long been leaving."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import loopback as lib  # noqa: E402

ROUNDS = 4


async def case(new_site, trouble, record):
    site = new_site({"suva-a": 3, "nadi-b": 2, "lautoka-c": 1}, 16)
    await site.start()
    if not await site.wait_ready():
        print("the site did not become ready")
        return 2

    async def client():
        up = [v for v in site.vms if v.running() and v.zone == "suva-a"]
        if up:
            await site.submit(random.choice(up), lib.new_id(), 150, 8, 150, 1500)

    clients = set()

    async def stream():
        while True:
            task = asyncio.create_task(client())
            clients.add(task)
            task.add_done_callback(clients.discard)
            await asyncio.sleep(0.05)

    load = asyncio.create_task(stream())
    await asyncio.sleep(4)
    late = []

    def judge(run):
        """Returns whether a VM in touch started a task too late on a leaving minion."""
        acked = run["minion"].drain_acked
        if acked is None or run["start"] <= acked + lib.DRAIN_S:
            return False
        return run["start"] - run["disturbed"] >= lib.CONTACT_S

    site.on_start = lambda run: run.update(disturbed=site.starter(run).disturbed)
    for _ in range(ROUNDS):
        leaving = [m for m in site.minions if m.zone == "suva-a" and m.state == "ready"][:3]
        for minion in leaving:
            minion.drain()
        await asyncio.sleep(2.6)
        killed = []
        if trouble:
            # The VMs of the zone that read the register: its owner and the next one.
            recent = time.monotonic() - 3
            reads = site.store.register_reads
            home = [v for v in site.vms if v.zone == "suva-a"]
            killed = [v for v in home if reads.get(v.name, 0) > recent][:2]
            for vm in killed:
                vm.signal(signal.SIGKILL)
        await asyncio.sleep(3)
        for minion in leaving:
            minion.leave()
        for vm in killed:
            vm.process.wait()
            vm.start()
        # The same machines come back as new minions.
        for minion in leaving:
            name = f"{minion.id}x"
            fresh = await lib.Minion(site, name, "suva-a", minion.rack, 32).start(f"{site.prefix}.2")
            site.minions.append(fresh)
        await asyncio.sleep(9)
        late = [r for r in site.runs if judge(r)]
        if late:
            break
    load.cancel()
    for run in late:
        record.add("DRAIN", task=run["task"], run=run["run"], minion=run["minion"].id,
                   at=f"{run['start']:.3f}", acked=f"{run['minion'].drain_acked:.3f}",
                   starter=site.starter(run).name, undisturbed_since=f"{run['disturbed']:.3f}")
    print(f"late starts on leaving minions: {len(late)}")
    return 1 if late else 0


lib.main(case)
