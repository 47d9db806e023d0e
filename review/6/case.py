"""The platform answers an upkeep late, and is busy after that. The machine comes back, its new worker
gets a task that lasts, and the repeated upkeep, which the platform acknowledges as already done, ends
that worker for the leader: its task is started a second time."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
sys.dont_write_bytecode = True
import fleet as f

PATH = "/ledger/"
SLOW_S = 1.0      # cloud_slow: answers take 50 times as long
ANSWER_S = 0.6    # 50 times 12 ms
BUSY_S = 2.5      # cloud_down (busy): at most
WAVE_S = 20


async def case(fleet):
    clouds = f.platform(fleet, fleet.address(90))
    await clouds.start()
    fleet.platform = clouds.address
    fleet.start_all()
    await asyncio.sleep(2.0)
    await fleet.put_config(
        [{"Name": "r-1", "Host": fleet.host, "PathPrefix": PATH, "Type": "non_idempotent",
          "TimeoutMs": 3000, "TargetLatencyMs": 2500, "Priority": 0, "Service": "pool",
          "Attempts": 4, "Stretch": 2.2}],
        [{"Name": "pool", "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1",
          "Tls": False, "RejectsOverload": False, "Standby": False}])
    workers = []

    def make_worker():
        one = f.worker(fleet, f"i-{len(workers) + 1:06x}", fleet.address(51 + len(workers)),
                       fleet.controls(), "pool")
        one.stop_s = 0.3
        workers.append(one)
        return one

    step = [{"Count": 1, "Cpu": 2000, "MemMb": 256, "LongRunning": True}]
    clouds.new_worker = lambda name: make_worker()
    jobs = []
    down = asyncio.Event()
    clouds.on_upkeep = lambda name: down.set()
    first = make_worker()
    clouds.add("m-1", "pool", first)
    try:
        await first.start()
        await asyncio.sleep(1.5)
        if f.trouble():
            clouds.slow_s = ANSWER_S
            fleet.log("the platform answers late")
        clouds.waves[1] = ["m-1"]
        status, _ = await f.call_once(fleet.controls()[0], "POST", "/clementineroad/wave-start",
                                      {"Wave": 1, "Machines": ["m-1"], "DurationS": WAVE_S,
                                       "Cap": 1})
        fleet.log(f"operator: wave 1 over m-1: {status}")
        await asyncio.wait_for(down.wait(), 10.0)
        at = fleet.log.now()
        await asyncio.sleep(0.5)
        jobs.append(await fleet.submit(PATH, step, {"ms": 3_600_000}))
        await asyncio.sleep(max(0.0, at + SLOW_S - fleet.log.now()))
        if f.trouble():
            clouds.slow_s, clouds.busy = 0.0, True
            fleet.log("the platform answers at once, and is busy")
        await asyncio.sleep(max(0.0, at + f.BOUNDS["MaintenanceS"] + 0.25 - fleet.log.now()))
        second = make_worker()
        clouds.add("m-2", "pool", second)
        await second.start()
        if f.trouble():
            # Until it has declined one more order; the leader reads the list before it repeats that.
            clouds.declined.clear()
            try:
                await asyncio.wait_for(clouds.declined.wait(), at + SLOW_S + BUSY_S - fleet.log.now())
            except asyncio.TimeoutError:
                pass
            clouds.busy = False
            fleet.log("the platform is sound")
        await asyncio.sleep(12.0)
        _, wave = await f.call_once(fleet.controls()[0], "GET", "/clementineroad/wave-get/1")
        fleet.log(f"wave 1: {wave}; job: {await fleet.state(PATH, jobs[0])}")
    finally:
        for one in workers:
            if one.alive:
                one.end("the test ends")
        clouds.stop()
    return [f"TWICE: {a[0]}: run {a[1]} on {a[5]} and run {b[1]} on {b[5]} at the same time "
            f"for {length:.2f} s" for a, b, length in f.overlaps(workers)]


f.run_case(os.path.dirname(os.path.abspath(__file__)), case)
