"""All processes are killed and start again; then clients take up their streams."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
from standin import BOUNDS, CannotRun, Deployment, X, call, run_case  # noqa: E402

STREAMS, PIECES, PAUSE_S, DEADLINE_S = 16, 26, 0.5, 15.0
KEY = "i9n73hh2b9wu3fexd9dn"
SERVICE = "clerk-model"
# Tries of a client to take its stream up, and the pause between two of them.
TRIES, TRY_PAUSE_S = 4, 1.0


def configuration():
    """One resumable stream route to one service, all of whose servers run one version."""
    return {
        "version": 1,
        "routes": [{
            "name": "address-guess", "host": "desk.example", "path_prefix": "/stream/",
            "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 500, "priority": 0,
            "service": SERVICE, "max_attempts": 2, "anonymous": False, "sticky_sessions": True, "resumable": True,
            "target_interval_ms": 1000,
        }],
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 370,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


class Client:
    """A client of one stream."""

    def __init__(self, number):
        self.number, self.first_attempt = number, f"{0xC000 + number:016x}"
        self.received, self.deadline, self.tries = b"", None, 0

    def last_event(self):
        """The id of the last event that came whole."""
        whole = self.received.rpartition(b"\n\n")[0]
        ids = [line for line in whole.split(b"\n") if line.startswith(b"id: ")]
        return int(ids[-1][4:]) if ids else 0

    async def attempt(self, address, attempt, more=()):
        left = int((self.deadline - time.monotonic()) * 1000)
        headers = [("Host", "desk.example"), (f"{X}Attempt-Id", attempt),
                   (f"{X}Deadline-Ms", str(left)), ("X-Api-Key", KEY), *more]
        before = len(self.received)

        def on_part(part):
            self.received += part

        answer = await call(address, "POST", f"/stream/{self.number}", headers, b"q" * 400,
                            left / 1000 + 0.5, on_part)
        answer.is_begun = answer.status == 200 and b"\n\n" in self.received[before:]
        if not answer.is_begun:
            self.received = self.received[:before]
        return answer


async def take_up(client, addresses, record):
    """Takes a stream up after its last whole event, until it goes on or the deadline is near."""
    whole = client.received.rpartition(b"\n\n")
    client.received = whole[0] + whole[1]
    while client.tries < TRIES and time.monotonic() < client.deadline - 1.0:
        client.tries += 1
        attempt = f"{0xD000 + client.number * 256 + client.tries:016x}"
        address = addresses[(client.number + client.tries) % len(addresses)]
        last = client.last_event()
        more = [("Last-Event-Id", str(last)), ("Resumes", client.first_attempt)]
        answer = await client.attempt(address, attempt, more)
        record(f"stream {client.number} taken up after event {last}, try {client.tries}: {answer}")
        if answer.is_begun:
            return True
        await asyncio.sleep(max(float(answer.headers.get("retry-after", 0)), TRY_PAUSE_S))
    return False


async def begins(number, addresses, record):
    """Returns whether a new stream begins, at the first try."""
    client = Client(200 + number)
    client.deadline = time.monotonic() + 3.0
    answer = await client.attempt(addresses[number % len(addresses)], f"{0xE000 + number:016x}")
    record(f"new stream {number}: {answer}, begun={answer.is_begun}")
    return answer.is_begun


async def case(record, trouble):
    deployment = Deployment(record, entries=8)
    try:
        await deployment.begin()
        await deployment.configure(configuration())
        for number in range(4):
            await deployment.start_server(
                f"i-{number:08x}", number, service=SERVICE, slots=64,
                framing="chunked", parts=PIECES, pause_s=PAUSE_S)
        await deployment.until_ready()
        await asyncio.sleep(4.0)
        addresses = [deployment.entry_address(name) for name in deployment.entries]
        clients = [Client(number) for number in range(STREAMS)]
        running = []
        for client in clients:
            client.deadline = time.monotonic() + DEADLINE_S
            address = addresses[client.number % len(addresses)]
            running.append(asyncio.create_task(client.attempt(address, client.first_attempt)))
        await asyncio.sleep(1.2)
        if any(client.last_event() < 2 for client in clients):
            raise CannotRun("not all streams have begun")
        if trouble:
            everything = deployment.cores + deployment.entries
            for name in everything:
                deployment.signal(name, signal.SIGKILL)
            for name in everything:
                deployment.children[name].wait()
            await asyncio.sleep(1.0)
            for name in everything:
                deployment.start(name)
            # Twice the span, as the fault took most of the core.
            calm_at = time.monotonic() + 2 * BOUNDS["contact_ms"] / 1000 + 0.3
            await asyncio.gather(*running)
        else:
            # Only the clients' connections break off.
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            calm_at = time.monotonic()
        await deployment.until_ready()
        await asyncio.sleep(max(calm_at - time.monotonic(), 0))
        record("the entry instances are in touch")
        went_on = asyncio.gather(*(take_up(client, addresses, record) for client in clients))
        begun = await asyncio.gather(*(begins(n, addresses, record) for n in range(STREAMS)))
        went_on = await went_on
        shares = sum(went_on) / len(went_on), sum(begun) / len(begun)
        record(f"{sum(went_on)} of {len(went_on)} streams go on, {sum(begun)} of {len(begun)} new begin")
        return shares[0] < shares[1] / 2
    finally:
        deployment.end(os.environ.get("KEEP") == "1")


run_case(case, FOLDER)
