"""A runner leaves while the store is down and entries restart; see claim.txt."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

from case import CannotRunError, Client, configuration, main, route  # noqa: E402
from runners import ModelRunner  # noqa: E402

# The disruption as the site file has it: the store answers 503 for 8 s.
DOWN_FROM_S = 2
DOWN_FOR_S = 8
LOAD_S = DOWN_FROM_S + DOWN_FOR_S
DRAIN_S = 2
# Entries that are restarted one after the other, of four.
RESTARTS = 2


class LeavingModel(ModelRunner):
    """Model runner that may say in all its answers that it leaves."""

    leaving = False

    async def run(self, request, writer, own):
        self.case.arrivals.append(
            (time.monotonic(), self.runner_id, own['X-Attempt-Id']))
        if self.leaving:
            own = {**own, 'Server-Leaving': '1'}
        await super().run(request, writer, own)


async def find_scheduler(case, known):
    """Returns the entry whose metrics say that it schedules."""
    for entry in known:
        text = await entry.metrics()
        if any(line.startswith('borageyard_group_scheduled_here')
               and float(line.split()[-1]) == 1
               for line in text.splitlines()):
            return entry
    raise CannotRunError('no entry schedules')


async def run(case):
    case.arrivals = []
    models = [
        LeavingModel(case, f'm{number}', 'model', ('za', 'zb')[number % 2],
                     slots=32, queue=32)
        for number in range(4)
    ]
    plan = configuration(
        [route('chat', '/chat/', 'streaming', 'model')],
        [{'name': 'model', 'engine': {'slots': 32, 'kvCapacity': 270909},
          'maxConnections': 620, 'healthPath': '/healthz'}],
    )
    await case.deploy(plan, models, entries=4)
    began = time.monotonic()
    requests = []
    # Time at which each entry first passed on an answer of the leaving runner.
    told = {}

    async def ask(entry):
        client = Client(case, entry)
        while time.monotonic() - began < LOAD_S and not entry.restarted:
            sent = time.monotonic()
            request_id, status, _ = await client.ask('/chat/x')
            requests.append((request_id, sent, entry))
            if client.headers.get('server-leaving') == '1':
                if entry not in told:
                    told[entry] = time.monotonic()
                    case.record('told', entry=entry.name)
            await asyncio.sleep(0.03)

    async def restart():
        for _ in range(RESTARTS):
            candidates = [one for one in case.entries if one.is_running]
            entry = await find_scheduler(case, candidates)
            entry.restarted = True
            case.record('restart', entry=entry.name)
            entry.process.send_signal(signal.SIGTERM)
            await entry.process.wait()
            await entry.start()
            await entry.wait_ready(time.monotonic() + 10)
            case.record('back', entry=entry.name)

    async def disrupt():
        await asyncio.sleep(DOWN_FROM_S)
        # Without the disruption the store takes the runner's report.
        case.store.down = case.trouble
        case.record('store', down=case.store.down)
        loop = asyncio.get_running_loop()
        loop.call_later(DOWN_FOR_S, end_outage)
        leaving = models[0]
        leaving.leaving = True
        leaving.state = 'draining'
        leaving.announce()
        await asyncio.sleep(0.5)
        await restart()

    def end_outage():
        case.store.down = False
        case.record('store', down=False)

    await asyncio.gather(
        disrupt(), *(ask(entry) for entry in case.entries for _ in range(2)))
    at_leaving = {
        request_id for _, runner, request_id in case.arrivals if runner == 'm0'
    }
    late = [
        (request_id, entry.name, round(sent - told[entry], 2))
        for request_id, sent, entry in requests
        if request_id in at_leaving and entry in told
        and not entry.restarted and sent > told[entry] + DRAIN_S
    ]
    for request_id, name, after_s in late:
        case.record('DRAIN', id=request_id, entry=name, after_s=after_s)
    summary = (f'{len(requests)} requests, {len(told)} entries passed on that '
               f'the runner leaves, {len(late)} sent to it more than '
               f'{DRAIN_S} s later by entries that were not restarted')
    case.record('summary', text=summary)
    if not told:
        return 2, summary
    return int(bool(late)), summary


main(pathlib.Path(__file__).parent, run)
