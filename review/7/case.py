"""A worker that shuts down is cut off one way; its run is started again elsewhere while it works."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
sys.dont_write_bytecode = True
import fleet as f

PATH = "/engrave/"
WORK_MS = 14_000
CUT_AFTER_BEAT_S = 0.3      # after a heartbeat that was acknowledged
CUT_BEFORE_NOTICE_S = 1.0   # so that the notice comes before the next heartbeat, 1.5 s after the last
CUT_S = 5.5                 # the site's dose of node_cut (servers)
UNACKNOWLEDGED_S = 5.0      # "it ends anyway, some seconds later"


async def case(fleet):
    fleet.start_all()
    await asyncio.sleep(2.0)
    await fleet.put_config(
        [{"Name": "r-1", "Host": fleet.host, "PathPrefix": PATH, "Type": "non_idempotent",
          "TimeoutMs": 3000, "TargetLatencyMs": 600, "Priority": 0, "Service": "pool",
          "Attempts": 3, "Stretch": 3.0}],
        [{"Name": "pool", "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1",
          "Tls": False, "RejectsOverload": False, "Standby": False}])
    # The first worker is reached, and reaches the control nodes, over links that can be cut.
    inbound = f.link(fleet.address(51, 20), fleet.address(51, 21))
    inbound.start()
    outbound = []
    for i, name in enumerate(fleet.cores):
        one = f.link(fleet.address(61 + i, 20), fleet.control(name))
        one.start()
        outbound.append(one)
    workers = [f.worker(fleet, "i-000001", fleet.address(51, 21),
                        [one.address for one in outbound], "pool", announced=inbound.address)]
    for i in range(2, 4):
        workers.append(f.worker(fleet, f"i-00000{i}", fleet.address(50 + i), fleet.controls(),
                                "pool"))
    first = workers[0]
    await first.start()
    try:
        await asyncio.sleep(1.0)
        job = await fleet.submit(PATH, [{"Count": 1, "Cpu": 2000, "MemMb": 256,
                                         "EstimateMs": WORK_MS}], {"ms": WORK_MS})
        for _ in range(500):
            if first.running:
                break
            await asyncio.sleep(0.02)
        else:
            raise f.cannot_run("the task does not start")
        for other in workers[1:]:
            await other.start()
        await asyncio.sleep(1.0)
        await first.drain()
        # DrainMs and a little longer.
        await asyncio.sleep(f.BOUNDS["DrainMs"] / 1000)
        first.beaten.clear()
        await first.beaten.wait()
        await asyncio.sleep(CUT_AFTER_BEAT_S)
        first.state = "leaving"  # the notice is the next thing that it says
        if f.trouble():
            for one in outbound:
                one.cut("from")
            inbound.cut("to")
            fleet.log("cut: nothing reaches the first worker; what it sends arrives")
        await asyncio.sleep(CUT_BEFORE_NOTICE_S)
        leaving = asyncio.ensure_future(first.leave(UNACKNOWLEDGED_S))
        await asyncio.sleep(CUT_S - CUT_BEFORE_NOTICE_S)
        inbound.heal()
        for one in outbound:
            one.heal()
        if f.trouble():
            fleet.log("the cut heals")
        await leaving
        for _ in range(400):
            if await fleet.state(PATH, job) == "completed":
                break
            await asyncio.sleep(0.1)
        fleet.log(f"the job is {await fleet.state(PATH, job)}")
    finally:
        for one in workers:
            if one.server and one.alive:
                one.end("the test ends")
        for one in outbound + [inbound]:
            one.stop()
    return [f"TWICE: {a[0]}: run {a[1]} on {a[5]} and run {b[1]} on {b[5]} at the same time "
            f"for {length:.2f} s" for a, b, length in f.overlaps(workers)]


f.run_case(os.path.dirname(os.path.abspath(__file__)), case)
