"""A route is removed by a new configuration while a request on it runs; the worker then answers 500.

TROUBLE=0 sends the new configuration with the route still in it.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import fleet as f

ROUNDS = 4
KEY = "i9n73hh2b9wu3fexd9dn"
OLD, KEPT = "/cufi504/", "/puxa403/"


async def work(worker, message, reader, writer):
    """Safe requests end with the worker's own 500 after 1.5 s, the others with 200 after 1.5 s."""
    status = 500 if message.first.split(" ")[1].startswith(OLD) else 200
    return await f.plain_work(worker, message, reader, writer, status, 1.5, b"error" if status == 500 else b"booked")


def make_config(version, with_old):
    routes = [f.route("r-booking", KEPT, "unsafe", "wuno96b", targetLatencyMs=3000, timeoutMs=6000)]
    if with_old:
        routes.append(f.route("r-old", OLD, "safe", "wuno96b", targetLatencyMs=3000, timeoutMs=6000, maxAttempts=2))
    tenants = [f.tenant("hule930", KEY)] + [f.tenant(f"fida{n}1", f"key-of-fida-{n}-abcdefgh") for n in range(4)]
    return f.config(version, routes, [f.service("wuno96b")], tenants)


async def attempt_round(fleet, number):
    """Returns the answers of the unsafe requests, which no configuration touches."""
    first = [asyncio.create_task(fleet.request(gateway, "GET", f"{OLD}fi50/{number}", KEY, 6000))
             for gateway in range(fleet.count)]
    await asyncio.sleep(0.3)
    fleet.configure(make_config(100 + 20 * number, with_old=not fleet.trouble))
    await asyncio.sleep(0.9)
    booked = [asyncio.create_task(fleet.request(gateway, "POST", f"{KEPT}{number}", KEY, 6000, b"pallet"))
              for gateway in range(fleet.count)]
    await asyncio.gather(*first)
    answers = await asyncio.gather(*booked)
    await asyncio.sleep(0.3)
    fleet.check_processes()
    fleet.configure(make_config(110 + 20 * number, with_old=True))
    await fleet.all_ready()
    await asyncio.sleep(2.5)
    return answers


async def case(fleet):
    await fleet.start_platform(make_config(7, True))
    for _ in range(4):
        await fleet.add_worker("wuno96b", 6, work)
    await fleet.start_all()
    await asyncio.sleep(3)
    answers = []
    for number in range(ROUNDS):
        answers += await attempt_round(fleet, number)
    lost = [status for status, _ in answers if not isinstance(status, int)]
    fleet.note("counted", bookings=len(answers), without_answer=len(lost), ended_by_themselves=len(fleet.ended))
    return not lost and not fleet.ended


f.main(os.path.dirname(os.path.abspath(__file__)), case, gateways=2)
