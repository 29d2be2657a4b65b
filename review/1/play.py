"""A burst of jobs on a queue with advice: are all accepted jobs started once the burst is over?"""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins import *

# One call for advice on all eight workers takes 60 + 8 x 5 = 100 ms, so the service answers ten a second.
ADVICE = {"decide_ms": 60, "each_ms": 5, "valid_ms": 3000}
# The sheet's `entry-check`: jobs a second, and one step of six tasks of 0.64 s on 2.3 cores.
RATE, WORK_S = 6.34, 0.64
STEP = {"count": 6, "cpu": 2300, "mem_mb": 4600, "estimate_ms": 640}
# The largest `burst` of the sheet, at its own dose: 2.6 times the traffic of a class, for 6 s.
BURST_X, BURST_S = 2.6, 6
BEFORE_S, AFTER_S = 5, 4
# The span of the rule, in seconds.
IDLE_S = 3


async def play(site, trouble):
    accepted, sent = {}, []

    async def hand_in(job):
        if await site.hand_in(0, job, f"job {job}", [STEP], work_s=WORK_S) == 200:
            accepted[job] = now()

    async def traffic(rate, seconds):
        site.record(f"traffic: {rate:.2f} jobs a second for {seconds} s")
        for _ in range(round(rate * seconds)):
            sent.append(asyncio.create_task(hand_in(f"{len(sent) + 1:016x}")))
            await asyncio.sleep(1 / rate)

    await traffic(RATE, BEFORE_S)
    await traffic(RATE * BURST_X if trouble else RATE, BURST_S)
    await traffic(RATE, AFTER_S)
    await asyncio.gather(*sent)
    site.record(f"the traffic ends; {len(accepted)} of {len(sent)} jobs were accepted")

    # The rule: finish_s after the end of the traffic, for 3 s, a job has nothing running while a task's turn has come,
    # there is capacity for it twice over, and under half of the service's capacity is in use.
    await asyncio.sleep(BOUNDS["finish_s"])
    ended = {task for _, how, task, *_ in site.runs if how == "done"}
    suspects = {job for job in accepted if sum(task.startswith(job) for task in ended) < STEP["count"]}
    begin, answers, calls = now(), site.advice.answers, site.advice.calls
    room, most = {job: None for job in suspects}, 0.0
    while now() < begin + IDLE_S:
        used = sum(m.used_cpu for m in site.machines) / sum(m.cpu for m in site.machines)
        most = max(most, used)
        running = {task[:16] for m in site.machines for task in m.runs}
        suspects -= running
        for job in suspects:
            free = sum(
                min((m.cpu - m.used_cpu) // STEP["cpu"], (m.mem_mb - m.used_mem) // STEP["mem_mb"])
                for m in site.machines
                if m.state == "up" and site.advice.permits(f"{job}.0.0", m.id)
            )
            room[job] = free if room[job] is None else min(room[job], free)
        await asyncio.sleep(0.05)
    started = {task[:16] for at, how, task, *_ in site.runs if how == "start" and at >= begin}
    suspects -= started
    ever = {task[:16] for _, how, task, *_ in site.runs if how == "start"}
    states = {job: await site.state(0, job) for job in accepted}
    count = {state: list(states.values()).count(state) for state in set(states.values())}
    site.record(
        f"{BOUNDS['finish_s'] + IDLE_S} s after the traffic: {count}; in the last {IDLE_S} s at most {100 * most:.0f}% of the "
        f"service's cores in use, {site.advice.calls - calls} calls for advice, {site.advice.answers - answers} answered; "
        f"in all {site.advice.calls} calls, {site.advice.answers} answers, {site.advice.refused} refused with 429"
    )
    return [
        f"LOST: job {job}, accepted at {accepted[job]:.1f} s, is {states[job]}; for {IDLE_S} s nothing of it ran "
        f"({'some of it did before' if job in ever else 'nothing ever did'}), permitted workers had room for {room[job]} of its "
        f"{STEP['count']} tasks all the time"
        for job in sorted(suspects)
        if most < 0.5 and room[job] >= 2 * STEP["count"] and states[job] in ("queued", "running")
    ]


main(play, machines=8, advice=ADVICE)
