"""A heartbeat of another writer, for a service that does not exist, ends a sound minion's life in the
leader's view. See claim.txt."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import Fleet, Minion, call, main

HERE = os.path.dirname(os.path.abspath(__file__))
ROUNDS = 3
STEPS = [{"Count": 6, "Cpu": 1000, "MemMb": 256, "EstimateMs": 3000}]
SPEC = {"ms": 3000}


async def case(record, trouble):
    fleet = Fleet(record)
    try:
        await fleet.start_all()
        minions = [Minion(fleet.world, fleet, f"i-{i}", fleet.service, fleet.minion_ip(i)) for i in range(3)]
        for minion in minions:
            await minion.start()
        if not await fleet.configure():
            return 2
        await asyncio.sleep(1.5)
        jobs = []
        for number in range(ROUNDS):
            jobs.append(await fleet.submit(STEPS, SPEC))
            await asyncio.sleep(0.7)
            busiest = max(minions, key=lambda m: len(m.runs))
            if not busiest.runs:
                return 2
            if trouble:
                body = {"Service": "no-such-service", "Address": f"{busiest.ip}:{fleet.minion_port}",
                        "Zone": "z", "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
                        "Capacity": {"Cpu": 16000, "MemMb": 65536, "Gpu": 0}, "Labels": ["a", "r1-1"],
                        "ClockMs": 1000, "Sequence": 1, "born": int(time.time() * 1000)}
                status, _ = await call(fleet.control(number), "PUT",
                                       f"/clementineroad/instances/x-{number}", body)
                record("heartbeat-of-another-writer", address_of=busiest.life, runs_there=len(busiest.runs),
                       status=status)
            await asyncio.sleep(6)
        if None in jobs:
            return 2
        for job in jobs:
            record("state", job=job, state=await fleet.wait_state(job, ("completed", "failed"), 15))
        for at, task, runs in fleet.world.double:
            print("two runs at once of", task, "on", runs, "at", at)
        record("two-runs-at-once", count=len(fleet.world.double))
        return 1 if fleet.world.double else 0
    finally:
        fleet.stop_all()


main(case, HERE)
