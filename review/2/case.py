"""A model runner writes a refusal once more; see claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

from case import Client, configuration, main, route  # noqa: E402
from runners import ModelRunner  # noqa: E402

CLIENTS = 7
LOAD_S = 26
# The disruption as the site file has it: share 0.6 of the runners (here one of
# two), x 0.03 of their answers, for 5 s; three times.
GARBLE_SHARE = 0.03
GARBLE_FROM_S = (4, 12, 20)
GARBLE_FOR_S = 5


class Garbling:
    """Decides which refusals of one runner are written once more."""

    def __init__(self, began):
        self.began = began
        self.window = None
        self.answers_before = 0
        self.repeated_before = 0

    def __call__(self, runner, what):
        now = asyncio.get_running_loop().time() - self.began
        window = next(
            (at for at in GARBLE_FROM_S if at <= now < at + GARBLE_FOR_S), None)
        if window != self.window:
            self.window = window
            self.answers_before = runner.answers
            self.repeated_before = runner.repeated
        if window is None or what != 'full':
            return False
        answers = runner.answers - self.answers_before
        repeated = runner.repeated - self.repeated_before
        return repeated + 1 <= answers * GARBLE_SHARE


async def run(case):
    models = [
        ModelRunner(case, f'm{number}', 'model', zone, slots=2, queue=1)
        for number, zone in enumerate(('za', 'zb'))
    ]
    for model in models:
        model.first_s, model.gap_s, model.events = 0.012, 0.002, 4
    plan = configuration(
        [route('reply', '/reply/', 'streaming', 'model')],
        [{'name': 'model', 'engine': {'slots': 2, 'kvCapacity': 270909},
          'maxConnections': 620, 'healthPath': '/healthz'}],
    )
    await case.deploy(plan, models)
    loop = asyncio.get_running_loop()
    began = loop.time()

    if case.trouble:
        models[0].repeats = Garbling(began)
    statuses = {}

    async def ask(number):
        client = Client(case, case.entries[number % len(case.entries)])
        while loop.time() - began < LOAD_S:
            request_id, status, _ = await client.ask('/reply/x')
            statuses[request_id] = status
            await asyncio.sleep(0.01)

    await asyncio.gather(*(ask(number) for number in range(CLIENTS)))
    await asyncio.sleep(1)
    twice = {one: at for one, at in case.runs.items() if len(at) > 1}
    refused = [one for one in case.runs if statuses.get(one) in {429, 503}]
    for one, at in twice.items():
        case.record('TWICE', id=one, at=at, status=statuses.get(one))
    for one in refused:
        case.record('REFUSED', id=one)
    summary = (f'{len(statuses)} requests, {len(case.runs)} ran, '
               f'{sum(s == 200 for s in statuses.values())} with 200, '
               f'{models[0].repeated} repeated refusals, '
               f'{len(twice)} ran twice, {len(refused)} ran though refused')
    case.record('summary', text=summary)
    if not case.runs:
        return 2, summary
    return int(bool(twice or refused)), summary


main(pathlib.Path(__file__).parent, run)
