"""Open connections to the store go silent; a replica leaves a second later."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import kit

#: How long the replica goes on serving after its entry was removed: `DrainMs`
#: and a little longer (at times many seconds).
SERVES_ON_S = kit.DRAIN_S + 6.0


async def main(record):
    """Returns 1 if a request reached the replica that has left."""
    clients = kit.Clients(record)
    async with kit.Deployment(record) as deployment:
        store = deployment.store
        for zone in kit.ZONES:
            await deployment.add_replica(f'i-{zone}', 'narudzbe', zone)
        routes = [
            kit.route('order', 'unsafe', 'narudzbe'),
            kit.route('stock', 'safe', 'narudzbe'),
        ]
        first = kit.configuration(1, routes, {'narudzbe': {}})
        store.put('op/config', first)
        if not await deployment.start_machines():
            record.say('the machines did not become ready')
            return 2
        # All machines are in touch: they have run for over ContactMs.
        await asyncio.sleep(kit.CONTACT_S + 1)
        store.put('op/config', {**first, 'Version': 4})
        record.say('version 4 acknowledged')
        await asyncio.sleep(2)
        if kit.TROUBLE:
            for proxy in deployment.proxies.values():
                proxy.silence_open()
            record.say('open connections to the store are silent')
        silent_at = record.now()
        end = silent_at + 12
        presses = [
            asyncio.create_task(
                clients.press(deployment.machines, method, path, 8, end)
            )
            for method, path in (('POST', '/order/1'), ('GET', '/stock/1'))
        ]
        await asyncio.sleep(1)
        leaving = deployment.replicas['i-split-a']
        store.delete(f'servers/{leaving.name}')
        leaving.is_leaving = True
        left_at = record.now()
        record.say(f'removal of {leaving.name} acknowledged')
        await asyncio.sleep(SERVES_ON_S)
        leaving.stop()
        await asyncio.gather(*presses)
        await asyncio.gather(*clients.tasks)
    return judge(record, clients, leaving, silent_at, left_at)


def judge(record, clients, leaving, silent_at, left_at):
    """Applies DRAIN to what the replica saw."""
    in_touch_at = silent_at + kit.CONTACT_S
    broken = [
        (arrived, request_id)
        for arrived, request_id in leaving.arrivals
        if arrived > left_at + kit.DRAIN_S
        and clients.sent[request_id][0] > in_touch_at
    ]
    for arrived, request_id in broken:
        sent_at, machine = clients.sent[request_id]
        record.write(
            f'DRAIN: {request_id} sent to {machine} at {sent_at:.3f} reached '
            f'{leaving.name} {arrived - left_at:.3f} s after its removal'
        )
    statuses = [status for _, status in clients.answers.values()]
    record.say(
        f'{len(statuses)} requests, {statuses.count(200)} answered 200; '
        f'{len(broken)} reached the replica over {kit.DRAIN_S} s after its '
        f'removal, sent by machines in touch'
    )
    if statuses.count(200) < 100:
        return 2
    return 1 if broken else 0


kit.run_case(main)
