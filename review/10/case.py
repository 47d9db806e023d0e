"""A machine joins, and a wave that names it is ordered within a second. The wave is said to be completed
although that machine never has its upkeep."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
sys.dont_write_bytecode = True
import fleet as f

MACHINES = 4
LED_S = 18.0      # the leader has read lists of machines for longer than 15 s
DURATION_S = 20
AFTER_S = 10.0    # the wave is asked for this long after its time


class dated_platform(f.platform):
    listed = None

    def _list(self):
        if self.listed:
            self.listed.set()
        return super()._list()


async def case(fleet):
    platform = dated_platform(fleet, fleet.address(90))
    await platform.start()
    fleet.platform = platform.address
    fleet.start_all()
    await asyncio.sleep(2.0)
    await fleet.put_config(
        [{"Name": "r-1", "Host": fleet.host, "PathPrefix": "/engrave/", "Type": "non_idempotent",
          "TimeoutMs": 3000, "TargetLatencyMs": 600, "Priority": 0, "Service": "pool",
          "Attempts": 3, "Stretch": 3.0}],
        [{"Name": "pool", "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1",
          "Tls": False, "RejectsOverload": False, "Standby": False}])
    lives = []

    def new_worker(name):
        """The worker of the next life of a machine, with an id and an address of its own."""
        lives.append(f.worker(fleet, f"i-{len(lives) + 1:06x}", fleet.address(50 + len(lives)),
                              fleet.controls(), "pool"))
        return lives[-1]

    platform.new_worker = new_worker

    async def add(name):
        one = new_worker(name)
        await one.start()
        platform.add(name, "pool", one)
        fleet.log(f"machine {name} is there, with {one.id}")

    wave = [f"m-{i + 1}" for i in range(MACHINES + 1)]
    late = wave[-1]
    platform.waves[1] = wave
    breaks = []
    try:
        for name in wave[:-1]:
            await add(name)
        if not f.trouble():
            await add(late)
        await asyncio.sleep(LED_S)
        platform.listed = asyncio.Event()
        await platform.listed.wait()
        await asyncio.sleep(0.1)
        if f.trouble():
            await add(late)
        await asyncio.sleep(0.3)
        body = {"Wave": 1, "Machines": wave, "DurationS": DURATION_S, "Cap": 2}
        for address in fleet.controls():
            try:
                status, _ = await f.call_once(address, "POST", "/clementineroad/wave-start", body,
                                              timeout=1.0)
            except f.FAILURES:
                continue
            fleet.log(f"wave-start {body}: {status}")
            if status == 200:
                break
        else:
            raise f.cannot_run("the wave is not accepted")
        end = fleet.log.now() + DURATION_S + AFTER_S
        state = None
        while fleet.log.now() < end and state != "completed":
            await asyncio.sleep(0.5)
            for address in fleet.controls():
                try:
                    status, answer = await f.call_once(address, "GET", "/clementineroad/wave-get/1",
                                                       timeout=1.0)
                except f.FAILURES:
                    continue
                if status == 200:
                    state = answer["State"]
                    break
        missing = [name for name in wave if (1, name) not in platform.begun]
        fleet.log(f"wave-get: {state}; upkeep has not begun: {', '.join(missing) or 'none'}")
        if state == "completed" and missing:
            await asyncio.sleep(3.0)
            missing = [name for name in wave if (1, name) not in platform.begun]
            breaks.append(f"MIXED: wave 1 is said to be completed, and {', '.join(missing)} is up and has "
                          f"not begun its upkeep")
    finally:
        for one in lives:
            if one.server and one.alive:
                one.end("the test ends")
        platform.stop()
    return breaks


f.run_case(os.path.dirname(os.path.abspath(__file__)), case)
