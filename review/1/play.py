"""A burst of jobs on a queue with advice: are all accepted jobs started once the burst is over?"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins import *

# One call for advice on all eight workers takes 60 + 8 x 5 = 100 ms, so the service answers ten a second.
ADVICE = {"decide_ms": 60, "each_ms": 5, "valid_ms": 3000}
STEPS = [{"count": 4, "cpu": 500, "mem_mb": 64, "estimate_ms": 200}]
# The jobs of the burst, and the time over which they come; without the trouble the same jobs come evenly.
BURST, BURST_S, EVEN_S = 60, 1.5, 24
# The span of the rule, in seconds.
IDLE_S = 3


async def play(site, trouble):
    accepted = {}

    async def hand_in(number):
        job = f"{number:016x}"
        if await site.hand_in(0, job, f"job {number}", STEPS) == 200:
            accepted[job] = now()

    # The usual traffic: two jobs a second.
    for number in range(1, 13):
        await hand_in(number)
        await asyncio.sleep(0.5)
    site.record(f"{BURST} jobs come within {BURST_S if trouble else EVEN_S} s")
    sent = []
    for number in range(BURST):
        sent.append(asyncio.create_task(hand_in(100 + number)))
        await asyncio.sleep((BURST_S if trouble else EVEN_S) / BURST)
    await asyncio.gather(*sent)
    site.record(f"the traffic ends; {len(accepted)} jobs were accepted")

    # The rule: finish_s after the end of the traffic, for 3 s, a job has nothing running though there is capacity.
    await asyncio.sleep(BOUNDS["finish_s"])
    since, answers = now(), site.advice.answers
    await asyncio.sleep(IDLE_S)
    ran = {task[:16] for at, what, task, *_ in site.runs if what == "start"}
    recent = [r for r in site.runs if r[0] >= since]
    used = max(m.used_cpu for m in site.machines)
    states = {job: await site.state(0, job) for job in accepted}
    count = {state: list(states.values()).count(state) for state in set(states.values())}
    site.record(
        f"{BOUNDS['finish_s'] + IDLE_S} s after the traffic: {count}; in the last {IDLE_S} s {len(recent)} starts and ends, "
        f"at most {used} of {site.machines[0].cpu} thousandths of a core in use on any worker, "
        f"{site.advice.answers - answers} answers of the advice service; in all {site.advice.calls} calls, "
        f"{site.advice.answers} answers, {site.advice.refused} refused with 429"
    )
    if recent or used * 4 > site.machines[0].cpu:
        return []
    return [
        f"LOST: job {job}, accepted at {accepted[job]:.1f} s, is {state}; no task of it was ever started, and all workers idle"
        for job, state in states.items()
        if state not in ("completed", "failed") and job not in ran
    ]


main(play, HERE, machines=8, advice=ADVICE)
