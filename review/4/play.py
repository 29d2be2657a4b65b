"""Workers crash again and again: does a job that nobody cancelled and of which no run failed stay alive?"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins import *

# All-day watchers: tasks that last until the job is cancelled.
WATCH = [{"count": 6, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 60000, "long_running": True}]
JOBS = 6
# Twice the largest share of `srv_crash` on the site's sheet (0.14); each crashed worker is back after a second.
SHARE, EVERY_S, DOWN_S, CRASHES = 0.28, 2.0, 1.0, 30


async def play(site, trouble):
    accepted = []
    for number in range(1, JOBS + 1):
        job = f"{number:016x}"
        if await site.hand_in(0, job, f"watch {number}", WATCH) == 200:
            accepted.append(job)
    await asyncio.sleep(2)

    async def crash(machine):
        await machine.die("it crashed")
        await asyncio.sleep(DOWN_S)
        await machine.start()

    for _ in range(CRASHES):
        if trouble:
            up = [m for m in site.machines if m.state == "up"]
            for machine in random.sample(up, round(SHARE * len(site.machines))):
                site.spawn(crash(machine))
        await asyncio.sleep(EVERY_S)

    # The workers rest, so that whatever is to run again does.
    await asyncio.sleep(BOUNDS["finish_s"])
    states = {job: await site.state(0, job) for job in accepted}
    ends = {job: [how for _, how, task, *_ in site.runs if task.startswith(job) and how != "start"] for job in accepted}
    at_work = {job: sum(task.startswith(job) for m in site.machines for task in m.runs) for job in accepted}
    for job in accepted:
        count = {how: ends[job].count(how) for how in set(ends[job])}
        site.record(f"job {job} is {states[job]}, {at_work[job]} of 6 tasks at work; ends that workers listed: {count}")
    return [
        f"LOST: job {job}, which nobody cancelled, is shown as {states[job]}; no run of it ever ended failed"
        for job in accepted
        if states[job] in ("failed", "cancelled", 410) and "failed" not in ends[job]
    ]


main(play, HERE, machines=10)
