"""A polled read that was in flight in three crashes of an engine is refused for ever."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

import fleet as f  # noqa: E402

ORDERS = f.make_route("sluice-order", "/orders/", "unsafe", "field-ops")
READS = f.make_route("probe-read", "/probes/", "safe", "field-ops")
KEY = "n2ctnfzs989anu6wsjnb"
TENANTS = {"flood-office": [KEY]}
#: Flaps of one engine, each 6.5 s long, with 1.4 s between its ends and starts.
N_FLAPS, FLAP_S, GAP_S = 2, 6.5, 1.4
#: Length of the steady state in which the rule is checked.
STEADY_S = 10.0


async def play(fleet):
    """Return whether the route that was added later is served as the first one is."""
    engines = [
        (f"i-field-{zone}", "field-ops", zone, {"work_s": (0.15, 0.35)})
        for zone in ("can-tho", "soc-trang", "vinh-long")
    ]
    first = f.make_config(1, [ORDERS], ["field-ops"], TENANTS)
    await fleet.start(["can-tho", "soc-trang", "vinh-long"], engines, first)
    await asyncio.sleep(1.0)
    fleet.put_config(f.make_config(4, [ORDERS, READS], ["field-ops"], TENANTS))
    await asyncio.sleep(fleet.bounds["configMs"] / 1000 + 1.0)

    answers = {"first": [], "later": []}

    async def poll():
        while True:
            gateway = fleet.choose_gateway()
            answer = await fleet.send(gateway, "GET", "/probes/2f", key=KEY)
            answers["later"].append(answer)
            await asyncio.sleep(random.uniform(0.1, 0.4))

    async def order(number):
        count = 0
        while True:
            count += 1
            body = f"open sluice {number} for the {count}. time".encode()
            gateway = fleet.choose_gateway()
            answer = await fleet.send(gateway, "POST", f"/orders/{number}", key=KEY, body=body)
            answers["first"].append(answer)
            await asyncio.sleep(random.uniform(0.6, 1.2))

    for _ in range(12):
        fleet.spawn(poll())
    for number in range(4):
        fleet.spawn(order(number))
    await asyncio.sleep(4.0)

    engine = fleet.engines[0]
    for number in range(N_FLAPS):
        fleet.record.say(f"flap {number + 1} begins")
        end = fleet.record.now() + FLAP_S
        while fleet.record.now() < end:
            if f.TROUBLE:
                engine.crash()
            await asyncio.sleep(GAP_S)
            if f.TROUBLE:
                await engine.start()
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(fleet.bounds["contactMs"] / 1000)
    fleet.record.say("the engine stays up from now on")
    await asyncio.sleep(2.0 * fleet.bounds["contactMs"] / 1000)

    since = fleet.record.now()
    fleet.record.say("steady state begins")
    await asyncio.sleep(STEADY_S)
    until = fleet.record.now()
    shares = {}
    for name, group in answers.items():
        judged = [answer for answer in group if since <= answer.sent_at < until - 4.0]
        served = sum(answer.is_served for answer in judged)
        shares[name] = served / max(1, len(judged))
        fleet.record.say(f"{name} routes in steady state: {served} of {len(judged)} served")
        if name == "later" and len(judged) < 20:
            raise f.CaseError("fewer than 20 requests on the later route")
    return shares["later"] >= 0.25 * shares["first"]


f.run_case(Path(__file__).resolve().parent, play)
