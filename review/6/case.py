"""A part that crashes replicas makes sound requests be refused for good."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

import deployment as d  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
#: The first part, which sound requests share, and the part that crashes. The
#: latter may be set, to see what its id changes.
FIRST = 'f3a9c210'
DEADLY = os.environ.get('DEADLY', '2b7c05e1')
#: First parts of others who send the deadly part later. No sound request has
#: one of them.
OTHERS = ('e1d40b77', 'd95f6a3c')
#: Refusals in a row after which somebody stops to send the deadly part. They
#: last longer than replicas are away.
REFUSALS = 10
CONTACT_S = 5.0
COUNTED_CRASHES = 5
#: Requests with the deadly part that may reach replicas after that.
MOST_DEADLY = 3
#: Replicas by region; each is back some seconds after a crash.
REPLICAS = {
    'i-north-1': 0,
    'i-north-2': 0,
    'i-north-3': 0,
    'i-south-1': 1,
    'i-south-2': 1,
    'i-east-1': 2,
}
BACK_AFTER_S = 3.0
#: The rule compares 20 sound requests or more before with as many during.
COUNTED = 22
PERIOD_S = 1.0
#: Pause of the sound requests, and when in it the others come.
PAUSE_S = 11.0
DEADLY_AFTER_S = 3.5
DEADLY_PERIOD_S = 0.25
#: What the rule calls "less than half as often".
LEAST_SHARE = 0.5


class Case:
    """The deployment, and the requests that were sent."""

    def __init__(self, fleet: d.Deployment) -> None:
        """Starts without any request."""
        self.fleet = fleet
        self._number = 0
        self._tasks: list[asyncio.Task[int]] = []

    def send(
        self, first: str, second: str, kind: str
    ) -> tuple[str, asyncio.Task[int]]:
        """Sends a request to the next machine in turn.

        Returns its id and a task that ends with the status of the answer.
        """
        self._number += 1
        machines = list(self.fleet.machines)
        machine = machines[self._number % len(machines)]
        request = f'{self._number:08x}{kind}'
        parts = f'{first}:55,{second}:37,{0x9000 + self._number:x}:199'
        task = asyncio.ensure_future(self._ask(machine, request, parts))
        self._tasks.append(task)
        return request, task

    async def send_sound(self, count: int) -> set[str]:
        """Sends requests that share only the first part; returns their ids."""
        ids = set()
        for _ in range(count):
            second = f'{0x51000 + self._number:x}'
            ids.add(self.send(FIRST, second, 'ok')[0])
            await asyncio.sleep(PERIOD_S)
        return ids

    async def send_deadly(self) -> None:
        """Sends the deadly part: one sender after another, until refused."""
        for number, first in enumerate((FIRST, *OTHERS)):
            if number:
                await self._until_counted()
            refusals = 0
            while refusals < REFUSALS:
                _, task = self.send(first, DEADLY, 'bad')
                await asyncio.wait({task}, timeout=DEADLY_PERIOD_S)
                is_refused = task.done() and task.result() == 503
                refusals = refusals + 1 if is_refused else 0
                await asyncio.sleep(DEADLY_PERIOD_S)
        while True:
            self.send(FIRST, DEADLY, 'bad')
            await asyncio.sleep(PERIOD_S)

    async def keep_replicas(self, ports: dict[str, int]) -> None:
        """Starts each replica again some seconds after it has crashed."""

        async def keep(name: str, region: int) -> None:
            while True:
                await self.fleet.processes[name].wait()
                await asyncio.sleep(BACK_AFTER_S)
                await self.fleet.start_replica(
                    name,
                    'model',
                    region,
                    ports[name],
                    deadly=DEADLY,
                    cold_ms=d.COLD_MS,
                )

        await asyncio.gather(*(keep(*entry) for entry in REPLICAS.items()))

    def crashes(self) -> list[float]:
        """Returns when replicas crashed."""
        notes = self.fleet.notes
        return sorted(note['at'] for note in notes if note['event'] == 'crash')

    def runs(self, kind: str, after: float = 0) -> set[str]:
        """Returns the requests of a kind that replicas began after a time."""
        return {
            note['request']
            for note in self.fleet.notes
            if note['event'] == 'run'
            and note['request'].endswith(kind)
            and note['at'] > after
        }

    async def _until_counted(self) -> None:
        """Waits until ContactMs after the fifth crash."""
        while len(self.crashes()) < COUNTED_CRASHES:
            await asyncio.sleep(PERIOD_S)
        due = self.crashes()[COUNTED_CRASHES - 1] + CONTACT_S
        await asyncio.sleep(max(0, due - time.time()) + DEADLY_PERIOD_S)

    async def _ask(self, machine: int, request: str, parts: str) -> int:
        """Sends a request; returns the status, 0 without a whole answer."""
        headers = {
            'X-Request-Id': request,
            'X-Deadline-Ms': '5000',
            'X-Model': 'm',
            'X-Token-Counts': '291,45',
            'X-Prompt-Prefix': parts,
        }
        record = self.fleet.record
        record.write(f'client: {request} to front-{machine}: {parts}')
        address = self.fleet.address(machine, 'callers')
        try:
            status, _, answer = await d.exchange(
                address, 'POST', '/question/1', headers, parts.encode()
            )
        except (OSError, asyncio.IncompleteReadError) as error:
            record.write(f'client: {request} fails: {error!r}')
            return 0
        record.write(f'client: {request} answered {status}, {answer[:60]!r}')
        return status


async def main() -> int:
    """Runs the case; returns its exit status."""
    fleet = d.Deployment(d.Record(HERE))
    case = Case(fleet)
    helpers = []
    try:
        await fleet.start(d.configuration())
        ports = {}
        for name, region in REPLICAS.items():
            ports[name] = await fleet.start_replica(
                name, 'model', region, deadly=DEADLY
            )
        helpers.append(asyncio.ensure_future(case.keep_replicas(ports)))
        await asyncio.sleep(4)
        before = await case.send_sound(COUNTED)
        fleet.record.say('the sound requests pause')
        await asyncio.sleep(DEADLY_AFTER_S)
        if TROUBLE:
            helpers.append(asyncio.ensure_future(case.send_deadly()))
        await asyncio.sleep(PAUSE_S - DEADLY_AFTER_S)
        fleet.record.say('the sound requests go on')
        # The rule counts from twice ContactMs after the fifth crash.
        await case.send_sound(round(2 * CONTACT_S / PERIOD_S) + 1)
        counted_from = time.time()
        during = await case.send_sound(COUNTED)
        await asyncio.sleep(2)
        if not all(fleet.is_running(f'front-{one}') for one in fleet.machines):
            return 2
        return judge(case, before, during, counted_from)
    finally:
        for helper in helpers:
            helper.cancel()
        await fleet.stop()


def judge(
    case: Case, before: set[str], during: set[str], counted_from: float
) -> int:
    """Applies LOST, and BUDGET of the same page."""
    say, crashes = case.fleet.record.say, case.crashes()
    begun = case.runs('ok')
    shares = [len(ids & begun) / len(ids) for ids in (before, during)]
    say(
        'sound requests with the first part that begin at the first attempt: '
        f'{len(before & begun)} of {len(before)} before, '
        f'{len(during & begun)} of {len(during)} from 10 s after the fifth crash'
    )
    if TROUBLE and len(crashes) < COUNTED_CRASHES:
        say('fewer than five crashes')
        return 2
    if TROUBLE and counted_from < crashes[4] + 2 * CONTACT_S:
        say('the fifth crash came too late for the count')
        return 2
    late = set()
    if TROUBLE:
        late = case.runs('bad', crashes[COUNTED_CRASHES - 1] + CONTACT_S)
    say(
        f'{len(crashes)} crashes; {len(late)} requests with the deadly part '
        'reached replicas later than ContactMs after the fifth'
    )
    is_lost = shares[1] < LEAST_SHARE * shares[0]
    is_over = len(late) > MOST_DEADLY
    say(f'LOST is {"broken" if is_lost else "kept"}')
    say(f'BUDGET is {"broken" if is_over else "kept"}')
    return int(is_lost or is_over)


if __name__ == '__main__':
    d.run_case(main)
