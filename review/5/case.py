"""A runner leaves while the store is down and entries restart; see claim.txt."""

import asyncio
import functools
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
# Entries that may be killed, one after the other, of four: the one that
# schedules, until one that has started again schedules.
MOST_KILLS = 3
# A killed process starts again after this time.
START_AFTER_S = 0.3
# The runner ends so long after the store has taken its report.
EXIT_AFTER_S = DRAIN_S + 1
# Events of a run, with pauses between.
SHORT = 2
LONG = 45
DEADLINE_MS = 8000
# Clients of each entry: those with short runs, those with long ones, and the
# time between the first requests of these.
QUICK = 2
SLOW = 4
STAGGER_S = 0.2
GAP_S = 0.1


class LeavingModel(ModelRunner):
    """Model runner that may say in all its answers that it leaves."""

    leaving = False

    async def run(self, request, writer, own):
        self.case.arrivals.append(
            (time.monotonic(), self.runner_id, own['X-Attempt-Id']))
        if self.leaving:
            own = {**own, 'Server-Leaving': '1'}
        await super().run(request, writer, own)

    def count_events(self, request):
        return LONG if request.target.endswith('long') else SHORT

    async def leave(self):
        """Reports that it leaves until the store takes that, then ends."""
        self.leaving = True
        self.state = 'draining'
        while self.case.store.down:
            await asyncio.sleep(0.1)
        self.announce()
        self.case.record('accepted', runner=self.runner_id)
        await asyncio.sleep(EXIT_AFTER_S)
        self.listed = False
        self.case.store.put('keyed.servers', self.runner_id, None)
        self.case.record('exit', runner=self.runner_id)
        self.end()


async def find_scheduler(case):
    """Returns the entry whose metrics say that it schedules."""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        for entry in case.entries:
            if not entry.is_running:
                continue
            text = await entry.metrics()
            if any(line.startswith('borageyard_group_scheduled_here')
                   and float(line.split()[-1]) == 1
                   for line in text.splitlines()):
                return entry
        await asyncio.sleep(0.05)
    raise CannotRunError('no entry schedules')


async def run(case):
    case.arrivals = []
    models = [
        LeavingModel(case, f'm{number}', 'model', ('za', 'zb')[number % 2],
                     slots=32, queue=32)
        for number in range(4)
    ]
    for model in models:
        model.gap_s = GAP_S
    plan = configuration(
        [route('chat', '/chat/', 'streaming', 'model', timeoutMs=8000)],
        [{'name': 'model', 'engine': {'slots': 32, 'kvCapacity': 270909},
          'maxConnections': 620, 'healthPath': '/healthz'}],
    )
    await case.deploy(plan, models, entries=4)
    began = time.monotonic()
    requests = []
    # Time at which each entry first passed on an answer of the leaving runner.
    told = {}

    def note(entry, headers):
        if headers.get('server-leaving') == '1' and entry not in told:
            told[entry] = time.monotonic()
            case.record('told', entry=entry.name)

    async def ask(entry, number):
        path = '/chat/short'
        if number >= QUICK:
            path = '/chat/long'
            await asyncio.sleep((number - QUICK) * STAGGER_S)
        client = Client(case, entry, on_head=functools.partial(note, entry))
        while time.monotonic() - began < LOAD_S and not entry.restarted:
            sent = time.monotonic()
            request_id, status, _ = await client.ask(
                path, deadline_ms=DEADLINE_MS)
            requests.append((request_id, sent, entry, status))
            await asyncio.sleep(0.03)

    async def kill_schedulers():
        for _ in range(MOST_KILLS):
            entry = await find_scheduler(case)
            if entry.restarted:
                return
            entry.restarted = True
            case.record('kill', entry=entry.name)
            entry.process.send_signal(signal.SIGKILL)
            await entry.process.wait()
            await asyncio.sleep(START_AFTER_S)
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
        case.spawn(models[0].leave())
        await asyncio.sleep(0.3)
        await kill_schedulers()

    def end_outage():
        case.store.down = False
        case.record('store', down=False)

    await asyncio.gather(
        disrupt(), *(ask(entry, number) for entry in case.entries
                    for number in range(QUICK + SLOW)))
    at_leaving = {
        request_id for _, runner, request_id in case.arrivals if runner == 'm0'
    }
    late = [
        (request_id, entry.name, round(sent - told[entry], 2), status)
        for request_id, sent, entry, status in requests
        if request_id in at_leaving and entry in told
        and not entry.restarted and sent > told[entry] + DRAIN_S
    ]
    for request_id, name, after_s, status in late:
        case.record('DRAIN', id=request_id, entry=name, after_s=after_s,
                    status=status)
    cut = sum(status == 0 for *_, status in late)
    summary = (f'{len(requests)} requests, {len(told)} entries passed on that '
               f'the runner leaves, {len(late)} sent to it more than '
               f'{DRAIN_S} s later by entries that were not restarted, '
               f'{cut} of them cut off as it ended')
    case.record('summary', text=summary)
    if not told:
        return 2, summary
    return int(bool(late)), summary


main(pathlib.Path(__file__).parent, run)
