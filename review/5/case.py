"""Bytes of a faulty engine that are no answer of an engine reach the client as a success."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

import fleet as f  # noqa: E402

READS = f.make_route("probe-read", "/probes/", "safe", "field-ops")
KEY = "n2ctnfzs989anu6wsjnb"
#: Fraction of its answers that the faulty engine spoils, and for how long; as in the site file.
SPOILED, FAULT_S = 0.02, 5.5
#: What it sends then: neither the id of the attempt nor the engine's signature.
WRONG = b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nwrong bytes!\n"


async def play(fleet):
    """Return whether all successes had the engine's signature."""
    zones = ["can-tho", "soc-trang", "vinh-long"]
    engines = [(f"i-field-{zone}", "field-ops", zone, {"slots": 12}) for zone in zones]
    config = f.make_config(1, [READS], ["field-ops"], {"flood-office": [KEY]})
    await fleet.start(zones, engines, config)
    answers = []

    async def read(number):
        count = 0
        while True:
            count += 1
            path = f"/probes/{number:x}{count:04x}"
            answers.append(await fleet.send(fleet.choose_gateway(), "GET", path, key=KEY))
            await asyncio.sleep(random.uniform(0.05, 0.15))

    for number in range(16):
        fleet.spawn(read(number))
    await asyncio.sleep(fleet.bounds["contactMs"] / 1000)
    for number in range(4):
        if f.TROUBLE:
            fleet.engines[0].spoil = lambda *_: WRONG if random.random() < SPOILED else None
            fleet.record.say(f"the engine is faulty ({number + 1})")
        await asyncio.sleep(FAULT_S)
        fleet.engines[0].spoil = lambda *_: None
        await asyncio.sleep(1.0)
    wrong = [a for a in answers if a.status == 200 and not a.is_served]
    fleet.record.say(f"answers: {len(answers)}, successes without a signature: {len(wrong)}")
    return not wrong


f.run_case(Path(__file__).resolve().parent, play)
