"""A request that crashes its engines crashes them again after each loss of all processes."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

import fleet as f  # noqa: E402

READS = f.make_route("probe-read", "/probes/", "safe", "field-ops")
KEY = "n2ctnfzs989anu6wsjnb"
DEADLY = "/probes/dead"
#: Seconds from the crash of an engine to its next start.
BACK_S = 2.0
#: Pause of the deadly request's client between two attempts, in seconds.
AGAIN_S = 1.5


async def play(fleet):
    """Return whether the request reached engines in three retries at most after its third crash."""
    zones = ["can-tho", "soc-trang", "vinh-long"]
    engines = [(f"i-field-{zone}", "field-ops", zone, {}) for zone in zones]
    config = f.make_config(1, [READS], ["field-ops"], {"flood-office": [KEY]})
    await fleet.start(zones, engines, config)
    contact_s = fleet.bounds["contactMs"] / 1000
    deadly_at, sound = [], []

    def is_deadly(path, fields, body):
        if path != DEADLY:
            return False
        deadly_at.append(fleet.record.now())
        return True

    async def keep_up(engine):
        while True:
            await asyncio.sleep(0.05)
            if engine.server is None:
                await asyncio.sleep(BACK_S)
                await engine.start()

    async def read(number):
        count = 0
        while True:
            count += 1
            path = f"/probes/{number:x}{count:04x}"
            sound.append(await fleet.send(fleet.choose_gateway(), "GET", path, key=KEY))
            await asyncio.sleep(random.uniform(0.3, 0.7))

    async def press(rounds):
        """Send the deadly request again and again, as its client does."""
        for _ in range(rounds):
            await fleet.send(fleet.choose_gateway(), "GET", DEADLY, key=KEY)
            await asyncio.sleep(AGAIN_S)

    for engine in fleet.engines:
        engine.is_deadly = is_deadly
        fleet.spawn(keep_up(engine))
    for number in range(4):
        fleet.spawn(read(number))
    await asyncio.sleep(contact_s)
    await press(6)
    if len(deadly_at) < 3:
        raise f.CaseError("the request has not crashed three engines")
    third_at = deadly_at[2]
    fleet.record.say(f"engines crashed by the request at first: {len(deadly_at)}")

    judged = 0
    for number in range(2):
        await asyncio.sleep(contact_s)
        if f.TROUBLE:
            for gateway in fleet.gateways:
                gateway.send_signal(9)
            await asyncio.gather(*(gateway.kill() for gateway in fleet.gateways))
            for gateway in fleet.gateways:
                gateway.n_missed, gateway.is_ready = 2, False
            await asyncio.sleep(1.0)
            for gateway in fleet.gateways:
                gateway.start()
            fleet.record.say(f"all processes were killed and started again ({number + 1})")
        await fleet.wait_until(lambda: all(g.is_ready for g in fleet.gateways), 10.0)
        # All machines are in touch again before the request comes.
        await asyncio.sleep(contact_s + 1.0)
        before = len(deadly_at)
        await press(6)
        judged += len(deadly_at) - before
        fleet.record.say(f"engines reached by the request since then: {len(deadly_at) - before}")

    since = third_at + contact_s
    late = sum(at > since for at in deadly_at)
    served = sum(answer.is_served for answer in sound)
    fleet.record.say(f"retries that reached engines later than contactMs after the third: {late}")
    fleet.record.say(f"sound requests: {served} of {len(sound)} served")
    return min(late, judged) <= 3


f.run_case(Path(__file__).resolve().parent, play)
