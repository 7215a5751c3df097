"""Three of 24 minions crash, one after the other, and start again at once under their
ids, while short jobs run."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

from standins import Site, job_body, job_id, main  # noqa: E402

MINIONS = 24
# Minions that crash: an eighth of all. The site file names a share of 0.14 at once.
CRASHES = 3
# Time between the end of a minion's process and its next start, in seconds.
PAUSE_S = float(os.environ.get("PAUSE", "0.02"))
# With DARK=1 the minion's connections are reset only when it is back.
DARK = os.environ.get("DARK") == "1"
TASK_MS = 60
JOBS = 1200
# Time between two jobs, in seconds.
GAP_S = 0.007


def overlaps(site):
    """Returns the pairs of runs of one task that were at work at the same time. Ends of
    an earlier process of a minion don't end the runs of the present one."""
    runs = {}
    for at, minion, task, run in site.starts:
        ends = [e for e in site.ends if e[1:4] == (minion, task, run) and e[0] >= at]
        end, how = min((e[0], e[4]) for e in ends) if ends else (1e9, "none")
        runs.setdefault(task, []).append((at, end, minion, run, how))
    found = []
    for task, rows in runs.items():
        rows.sort()
        for i, one in enumerate(rows):
            found += [(task, one, other) for other in rows[i + 1 :] if other[0] < one[1]]
    return found


async def case(record, trouble):
    site = Site(record, ["zone-a", "zone-b", "zone-c"], MINIONS, 32000)
    try:
        await site.start()
        await site.settle()
        pending = []
        crashed = set()
        for index in range(JOBS):
            vm = site.vms[index % len(site.vms)]
            body = job_body([{"count": 1}], TASK_MS, 4000)
            request = site.request(vm, "POST", job_id(), body, 2500)
            pending.append(asyncio.create_task(request))
            await asyncio.sleep(GAP_S)
            due = index % (JOBS // (CRASHES + 1)) == JOBS // (CRASHES + 1) - 1
            if trouble and due and len(crashed) < CRASHES:
                # The minion that was given work last, so that it is in use.
                names = [row[1] for row in reversed(site.starts)]
                name = next(n for n in names if n not in crashed)
                crashed.add(name)
                minion = next(m for m in site.minions if m.name == name)
                pending.append(asyncio.create_task(minion.restart(PAUSE_S, DARK)))
        await asyncio.gather(*pending)
        found = overlaps(site)
        for task, one, other in found:
            record.note(
                "TWICE: %s was at work on %s as run %d from %.3f to %.3f (%s) and on %s as "
                "run %d from %.3f to %.3f (%s)"
                % (task, one[2], one[3], one[0], one[1], one[4],
                   other[2], other[3], other[0], other[1], other[4])
            )
        return not found
    finally:
        await site.stop()


main(case, FOLDER)
