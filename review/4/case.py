"""Heartbeats of another writer, without `born`, end the leading control process. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import Fleet, Minion, call, main

HERE = os.path.dirname(os.path.abspath(__file__))
ROUNDS = 14
ENDS = 3  # on half of the core, as the rule has it


async def case(record, trouble):
    fleet = Fleet(record)
    ended = {}

    def restart_ended():
        for node, code in fleet.dead().items():
            ended.setdefault(node, []).append(code)
            record("process-ended", node=node, code=code)
            fleet.start(node)

    async def heartbeat(ident, address, sequence):
        body = {"Service": fleet.service, "Address": address, "Zone": "z", "Version": "v0", "Slots": 8,
                "State": "ready", "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 16000, "MemMb": 65536, "Gpu": 0}, "Labels": ["a", "r1-1"],
                "ClockMs": 1000, "Sequence": sequence}
        for node in range(3):
            status, _ = await call(fleet.control(node), "PUT", f"/clementineroad/instances/{ident}", body)
            record("heartbeat-of-another-writer", id=ident, address=address, status=status)
            if 200 <= status < 300:
                return

    try:
        await fleet.start_all()
        for i in range(2):
            await Minion(fleet.world, fleet, f"i-{i}", fleet.service, fleet.minion_ip(i)).start()
        if not await fleet.configure():
            return 2
        fleet.bootstrap = False
        await asyncio.sleep(1.5)
        job = await fleet.submit([{"Count": 2, "Cpu": 500, "MemMb": 256, "EstimateMs": 300}], {"ms": 300})
        if job is None or await fleet.wait_state(job, ("completed",), 10) is None:
            return 2
        for number in range(ROUNDS):
            if trouble:
                old = f"{fleet.minion_ip(20 + 2 * number)}:{fleet.minion_port}"
                new = f"{fleet.minion_ip(21 + 2 * number)}:{fleet.minion_port}"
                await heartbeat(f"w-{number}", old, 1)
                await heartbeat(f"w-{number}", new, 2)  # the same writer, at another address
                await heartbeat(f"v-{number}", new, 1)  # its address has gone to another one,
                await heartbeat(f"u-{number}", old, 1)  # and so has the one before
            await asyncio.sleep(0.5)
            restart_ended()
            await asyncio.sleep(3.5)
            restart_ended()
            if len([n for n in ended if len(ended[n]) >= ENDS]) * 2 > len(fleet.cores):
                break
        record("ended", **{node: len(codes) for node, codes in ended.items()})
        print("control processes that ended by themselves:", ended)
        return 1 if len([n for n in ended if len(ended[n]) >= ENDS]) * 2 > len(fleet.cores) else 0
    finally:
        fleet.stop_all()


main(case, HERE)
