"""Empty minions are added. From then on the advice service is never asked about some of the minions that
it would allow, and tasks that last and may run only there never start."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
sys.dont_write_bytecode = True
import fleet as f

PATH = "/ledger/"
MINIONS = 30
ADDED = 9         # scale_out: share .3
ALLOWED = 4
WAIT_S = 20.0     # finish_s (14 s) and the 6 s of the rule for tasks that last
DECIDE_MS, PERIOD_MS, VALID_MS = 20, 2, 3000


async def case(fleet):
    allowed = [f"i-{i:06x}" for i in range(ALLOWED)]
    advice = f.advisor(fleet, fleet.address(90), allowed, DECIDE_MS, PERIOD_MS, VALID_MS)
    await advice.start()
    fleet.advice = advice.address
    fleet.start_all()
    await asyncio.sleep(2.0)
    await fleet.put_config(
        [{"Name": "r-1", "Host": fleet.host, "PathPrefix": PATH, "Type": "non_idempotent",
          "TimeoutMs": 3000, "TargetLatencyMs": 2500, "Priority": 0, "Service": "pool",
          "Attempts": 4, "Stretch": 2.2,
          "Advice": {"DecideMs": DECIDE_MS, "PeriodMs": PERIOD_MS, "ValidMs": VALID_MS}}],
        [{"Name": "pool", "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1",
          "Tls": False, "RejectsOverload": False, "Standby": False}])
    workers = []

    async def add_worker():
        index = len(workers)
        # The first allowed minion is the largest of the service, the others are the smallest.
        cpu = 32000 if index == 0 else 8000 if index < ALLOWED else 16000
        one = f.worker(fleet, f"i-{index:06x}", fleet.address(50 + index), fleet.controls(), "pool",
                       rack=f"r1-{index // 4}", cpu=cpu)
        one.check_ticket = advice.check
        workers.append(one)
        await one.start()

    breaks = []
    try:
        for _ in range(MINIONS):
            await add_worker()
        await asyncio.sleep(2.0)
        if f.trouble():
            fleet.log(f"{ADDED} empty minions are added")
            for _ in range(ADDED):
                await add_worker()
        await asyncio.sleep(3.0)
        job = await fleet.submit(PATH, [{"Count": ALLOWED, "Cpu": 1000, "MemMb": 256,
                                         "LongRunning": True, "MaxPerServer": 1}],
                                 {"ms": 3_600_000})
        await asyncio.sleep(WAIT_S)
        at_work = sorted(task for one in workers for task in one.running)
        fleet.log(f"{WAIT_S:.0f} s after job {job} was accepted: {await fleet.state(PATH, job)}, "
                  f"tasks at work: {', '.join(at_work) or 'none'}")
        for one in workers[:ALLOWED]:
            fleet.log(f"allowed minion {one.id}: {len(one.running)} tasks, {one.cpu} cpu")
        missing = ALLOWED - len(at_work)
        if missing:
            breaks.append(f"LOST: {missing} of {ALLOWED} tasks that last had no run for "
                          f"{WAIT_S:.0f} s, while as many allowed minions with room for eight each "
                          f"ran nothing")
    finally:
        for one in workers:
            if one.alive:
                one.end("the test ends")
        advice.stop()
    return breaks


f.run_case(os.path.dirname(os.path.abspath(__file__)), case)
