"""A gateway gets SIGTERM while requests that a worker turned away wait there for room.

TROUBLE=0 sends no SIGTERM; the same requests are then answered.
"""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import fleet as f

ROUNDS, WAITING, SLOTS, GRACE_S = 3, 3, 6, 8
LONG_S, SHORT_S = 12.0, 0.5
KEY = "i9n73hh2b9wu3fexd9dn"


async def work(worker, message, reader, writer):
    """An answer of a service whose work takes long or short, as the path tells."""
    return await f.plain_work(worker, message, reader, writer, 200, LONG_S if "/long" in message.first else SHORT_S)


def make_config():
    routes = [f.route("r-plan", "/lohu930/", "unsafe", "huvo11a", timeoutMs=15000, targetLatencyMs=1200,
                      maxAttempts=2)]
    tenants = [f.tenant("fida11", "key-of-fida-11-abcdef"), f.tenant("hule930", KEY)]
    return f.config(7, routes, [f.service("huvo11a", 370)], tenants)


async def attempt_round(fleet, number):
    """Returns the answers of the requests that had to wait."""
    one = await fleet.add_worker("huvo11a", SLOTS, work)
    await asyncio.sleep(2.5)
    post = [asyncio.create_task(fleet.request(0, "POST", f"/lohu930/long{number}", KEY, 15000, b"plan"))
            for _ in range(SLOTS)]
    await asyncio.sleep(0.5)
    other = await fleet.add_worker("huvo11a", SLOTS, work)
    await asyncio.sleep(2.5)
    post += [asyncio.create_task(fleet.request(1, "POST", f"/lohu930/long{number}", KEY, 15000, b"plan"))
             for _ in range(SLOTS)]
    await asyncio.sleep(0.01)
    waiting = [asyncio.create_task(fleet.request(0, "POST", f"/lohu930/short{number}", KEY, 15000, b"plan"))
               for _ in range(WAITING)]
    await asyncio.sleep(0.4)
    process = fleet.processes[0]
    if fleet.trouble:
        fleet.note("SIGTERM", gateway=0)
        process.send_signal(signal.SIGTERM)
    answers = await asyncio.gather(*waiting)
    await asyncio.gather(*post)
    if fleet.trouble:
        try:
            process.wait(GRACE_S)
        except Exception:
            process.kill()
        fleet.start_gateway(0)
        await fleet.all_ready()
    for worker in (one, other):
        worker.kill()
    await asyncio.sleep(5)
    return answers


async def case(fleet):
    await fleet.start_platform(make_config())
    await fleet.start_all()
    await asyncio.sleep(2)
    answers = []
    for number in range(ROUNDS):
        answers += await attempt_round(fleet, number)
    lost = [status for status, _ in answers if not isinstance(status, int)]
    turned_away = len(fleet.seen("turned-away"))
    fleet.note("counted", waited=len(answers), without_answer=len(lost), turned_away=turned_away)
    if not turned_away:
        raise f.CannotRun("no worker turned a request away")
    return not lost


f.main(os.path.dirname(os.path.abspath(__file__)), case, gateways=2)
