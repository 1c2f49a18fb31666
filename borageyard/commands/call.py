"""The ``borageyard call`` command, which sends one pipeline request."""

import argparse
import asyncio
import pathlib
import sys
from collections.abc import Mapping
from typing import Any

from ..authentication import AUTHORISATION_HEADER
from ..clock import MS_PER_S
from ..document_validation import DocumentError, Problem, parse_json
from ..http_client import HttpCall, HttpCallError, HttpClient
from ..http_messages import EVENT_STREAM_TYPE, JSON_TYPE, encode_json
from ..identifiers import new_identifier
from ..wire import DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, ORGANISATION_HEADER

EXIT_OK = 0
EXIT_FAILURE = 1
STATUS_OK = 200
DEFAULT_DEADLINE_MS = 9000
STANDARD_INPUT = '-'
HELP = 'send one request for a pipeline'
EPILOG = """\
Prints the answer, or the refusal, which states what is known about whether
the request ran; the exit code is 1 for a refusal. The idempotency key is
printed to standard error before the request is sent: if the answer is lost,
send the same request again with --key and this key, and nothing runs twice.
Entries are tried in order until one is reached.

examples:
  borageyard call booking --entry 127.0.0.1:8080 --organisation dispatch \\
    --input request.json
  echo '{"dog": "Snati"}' | borageyard call owner-assistant \\
    --entry 127.0.0.1:8080 --organisation dispatch --stream
"""


def add_call_command(commands: Any) -> None:
    """Adds ``borageyard call`` to the command line.

    Args:
        commands: The subparsers of the command line.
    """
    call = commands.add_parser(
        'call',
        help=HELP,
        description=HELP,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    call.add_argument('pipeline', help='name of the pipeline')
    call.add_argument(
        '--entry',
        action='append',
        required=True,
        metavar='ADDRESS',
        help='IP address and port of an entry; may be repeated',
    )
    call.add_argument('--organisation', required=True, metavar='NAME')
    call.add_argument(
        '--input',
        default=STANDARD_INPUT,
        metavar='FILE',
        help='JSON request body; - reads standard input (default)',
    )
    call.add_argument('--key', default='', help='idempotency key to reuse')
    call.add_argument('--token', default='', help='token of the organisation')
    call.add_argument(
        '--deadline-ms',
        type=int,
        default=DEFAULT_DEADLINE_MS,
        metavar='MS',
        help='deadline of the request (default: %(default)s)',
    )
    call.add_argument(
        '--stream',
        action='store_true',
        help='print events as they arrive',
    )
    call.set_defaults(run=_run_call)


def _run_call(arguments: argparse.Namespace) -> int:
    body = encode_json(
        parse_json(_read_input(arguments.input), arguments.input)
    )
    key = arguments.key or new_identifier()
    sys.stderr.write(f'idempotency key: {key}\n')
    return asyncio.run(_send(arguments, body, _headers(arguments, key)))


def _read_input(path: str) -> str:
    if path == STANDARD_INPUT:
        return sys.stdin.read()
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem('$', 'a file that cannot be read', str(error))
        raise DocumentError(path, (problem,)) from error


def _headers(arguments: argparse.Namespace, key: str) -> dict[str, str]:
    headers = {
        ORGANISATION_HEADER: arguments.organisation,
        DEADLINE_HEADER: str(arguments.deadline_ms),
        IDEMPOTENCY_KEY_HEADER: key,
        'content-type': JSON_TYPE,
        'accept': EVENT_STREAM_TYPE if arguments.stream else JSON_TYPE,
    }
    if arguments.token:
        headers[AUTHORISATION_HEADER] = f'Bearer {arguments.token}'
    return headers


async def _send(
    arguments: argparse.Namespace,
    body: bytes,
    headers: Mapping[str, str],
) -> int:
    """Sends the request to the first entry that can be reached.

    After an error on a request that was sent, no other entry is tried, since
    the request may have run.
    """
    async with HttpClient() as client:
        for address in arguments.entry:
            call = HttpCall(
                address=address,
                method='POST',
                path=f'/v1/pipelines/{arguments.pipeline}',
                body=body,
                headers=headers,
                timeout_ms=arguments.deadline_ms + MS_PER_S,
            )
            try:
                return await _print_reply(client, call)
            except HttpCallError as error:
                sys.stderr.write(f'{address}: {error.reason}\n')
                if error.sent:
                    sys.stderr.write('it is unknown whether the request ran\n')
                    return EXIT_FAILURE
    sys.stderr.write('no entry could be reached; nothing was run\n')
    return EXIT_FAILURE


async def _print_reply(client: HttpClient, call: HttpCall) -> int:
    tail = b''
    async with client.stream(call) as (status, _, chunks):
        answered = status == STATUS_OK
        async for chunk in chunks:
            sys.stdout.write(chunk.decode(errors='replace'))
            sys.stdout.flush()
            tail = chunk
    sys.stdout.write('\n')
    refused = b'"type":"refusal"' in tail.rpartition(b'data: ')[2]
    return EXIT_OK if answered and not refused else EXIT_FAILURE
