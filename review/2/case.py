"""A minion is cut off, crashes behind the cut and starts again under its id. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import Fleet, Minion, Proxy, main

HERE = os.path.dirname(os.path.abspath(__file__))
CUT_S = 2.0
ROUNDS = 2
MINIONS = 4
STEPS = [{"Count": 20, "Cpu": 400, "MemMb": 256, "EstimateMs": 1500}]
SPEC = {"ms": 1500}


async def case(record, trouble):
    fleet = Fleet(record)
    proxies, minions = [], []
    try:
        await fleet.start_all()
        for i in range(MINIONS):
            proxy = Proxy(fleet.minion_ip(50 + i), fleet.minion_port,
                          (fleet.minion_ip(i), fleet.minion_port))
            await proxy.start()
            proxies.append(proxy)
            minion = Minion(fleet.world, fleet, f"i-{i}", fleet.service, fleet.minion_ip(i),
                            announce=f"{proxy.ip}:{proxy.port}")
            await minion.start()
            minions.append(minion)
        if not await fleet.configure():
            return 2
        await asyncio.sleep(1.5)
        jobs = []
        for _ in range(ROUNDS):
            # Two jobs at once, to learn which minion gets most of their tasks.
            before = len(fleet.world.starts)
            for _ in range(2):
                jobs.append(await fleet.submit(STEPS, SPEC))
            await asyncio.sleep(0.3)
            used = [life for _, _, _, life, _ in fleet.world.starts[before:]]
            if not used:
                return 2
            victim = max(minions, key=lambda m: used.count(m.life))
            proxy = proxies[minions.index(victim)]
            await asyncio.sleep(3.0)  # until they are done
            if trouble:
                record("cut", minion=victim.id)
                proxy.cut()
                victim.beats_on = False  # its heartbeats do not get through
            for _ in range(2):
                jobs.append(await fleet.submit(STEPS, SPEC))
            if trouble:
                await asyncio.sleep(CUT_S / 2)
                victim.crash()
                await victim.start()
                await asyncio.sleep(CUT_S / 2)
                record("heal", minion=victim.id)
                victim.beats_on = True
                proxy.heal()
            await asyncio.sleep(6.0)
        if None in jobs:
            return 2
        for job in jobs:
            if await fleet.wait_state(job, ("completed",), 15) is None:
                record("not-completed", job=job)
        for at, task, runs in fleet.world.double:
            print("two runs at once of", task, "on", runs, "at", at)
        record("two-runs-at-once", count=len(fleet.world.double))
        return 1 if fleet.world.double else 0
    finally:
        fleet.stop_all()


main(case, HERE)
