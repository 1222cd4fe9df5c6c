"""An entry of another writer, with bytes that can't be read, ends the reading of all entries."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

import fleet as f  # noqa: E402

ORDERS = f.make_route("sluice-order", "/orders/", "unsafe", "field-ops")
KEY = "n2ctnfzs989anu6wsjnb"
#: A row of 2 KB that is no JSON: it ends within its value.
UNREADABLE = b'{"service":"field-ops","note":' + b"[" * 2000
#: Seconds for which a leaving engine serves beyond ``drainMs``; the site file has 1.5.
LINGER_S = 1.5


async def play(fleet):
    """Return whether the leaving engine got no request later than ``drainMs``."""
    zones = ["can-tho", "soc-trang", "vinh-long"]
    engines = [(f"i-field-{zone}", "field-ops", zone, {}) for zone in zones]
    config = f.make_config(1, [ORDERS], ["field-ops"], {"cooperative": [KEY]})
    await fleet.start(zones, engines, config)
    answers = []

    async def order(number):
        count = 0
        while True:
            count += 1
            body = f"open sluice {number} for the {count}. time".encode()
            gateway = fleet.choose_gateway()
            answers.append(
                await fleet.send(gateway, "POST", f"/orders/{number}", key=KEY, body=body)
            )
            await asyncio.sleep(random.uniform(0.2, 0.5))

    for number in range(12):
        fleet.spawn(order(number))
    await asyncio.sleep(fleet.bounds["contactMs"] / 1000 + 1.0)

    if f.TROUBLE:
        fleet.store.put("servers", "i-of-another-writer", UNREADABLE)
        fleet.record.say("an entry of another writer is stored")
    await asyncio.sleep(3.0)

    engine = fleet.engines[0]
    engine.state = "draining"
    engine.write_entry()
    acknowledged_at = fleet.record.add("draining-acknowledged", engine=engine.name)
    drain_s = fleet.bounds["drainMs"] / 1000
    await asyncio.sleep(drain_s + LINGER_S)
    engine.is_registered = False
    fleet.store.put("servers", engine.name, None)
    engine.crash("exit")
    await asyncio.sleep(3.0)

    late = [at for at, *_ in engine.runs if at > acknowledged_at + drain_s]
    lost = [a for a in answers if a.sent_at > acknowledged_at and not a.is_served]
    fleet.record.say(f"orders that reached {engine.name} later than drainMs: {len(late)}")
    fleet.record.say(f"orders sent since the acknowledgement and not served: {len(lost)}")
    return not late


f.run_case(Path(__file__).resolve().parent, play)
