"""A notice of leaving from a minion's former life is applied to its new one. See claim.txt."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import Fleet, Minion, main, now_ms

HERE = os.path.dirname(os.path.abspath(__file__))
FREEZE_S = 6.5
WATCH_S = 30
TASKS = 2


async def case(record, trouble):
    fleet = Fleet(record)
    try:
        await fleet.start_all()
        minions = [Minion(fleet.world, fleet, f"i-{i}", fleet.service, fleet.minion_ip(i)) for i in range(2)]
        for minion in minions:
            await minion.start()
        if not await fleet.configure():
            return 2
        await asyncio.sleep(1.5)
        lasting = await fleet.submit(
            [{"Count": TASKS, "Cpu": 1000, "MemMb": 256, "EstimateMs": 1000, "LongRunning": True,
              "MaxPerServer": 1, "MayMiss": 1}], {"lasts": True})
        await asyncio.sleep(2)
        leader = await fleet.leader()
        if lasting is None or leader is None:
            return 2
        frozen = next(i for i, node in enumerate(fleet.cores) if node != leader)

        async def restart(minion):
            await minion.leave(frozen)
            await asyncio.sleep(1.0)
            await minion.start()

        # One after the other; the control node is frozen while they send their notices.
        first = asyncio.create_task(restart(minions[0]))
        await asyncio.sleep(2.0)
        if trouble:
            fleet.signal(fleet.cores[frozen], signal.SIGSTOP)
        thaw_at = now_ms() + int(FREEZE_S * 1000)
        await asyncio.sleep(0.5)
        second = asyncio.create_task(restart(minions[1]))
        await asyncio.gather(first, second)
        await asyncio.sleep(max(0, thaw_at - now_ms()) / 1000)
        if trouble:
            fleet.signal(fleet.cores[frozen], signal.SIGCONT)
        short = await fleet.submit([{"Count": 1, "Cpu": 500, "MemMb": 256, "EstimateMs": 300}], {"ms": 300})
        # Seconds on end without a single task of the lasting job, after 7 calm seconds.
        idle = longest = 0
        await asyncio.sleep(3 + 4)
        for _ in range(WATCH_S * 2):
            await asyncio.sleep(0.5)
            running = sum(len(m.runs) for m in minions if m.up)
            idle = 0 if running else idle + 0.5
            longest = max(longest, idle)
        state = await fleet.state(short) if short else None
        for minion in minions:
            record("minion", life=minion.life, state=minion.state, runs=len(minion.runs),
                   heartbeat_acknowledged_ms_ago=now_ms() - minion.acknowledged_at)
        record("lasting", seconds_without_any_task=longest, short_job=state)
        print(f"no task of the lasting job for {longest} s on end; short job: {state}")
        return 1 if longest > 6 + 3 else 0
    finally:
        fleet.stop_all()


main(case, HERE)
