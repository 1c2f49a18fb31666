"""Requests to gateways in the form that the users' clients send."""

import dataclasses
import enum
import shlex

from ..http_client import HttpCall, HttpReply
from ..identifiers import new_identifier
from .gateway_deployment import API_KEY, HOST

# Deadline of a request; the stand-ins answer within milliseconds.
DEADLINE_MS = 2500
CALL_TIMEOUT_MS = 5000
STATUS_OK = 200
# Statuses which guarantee that the request was not run.
NOT_RUN_STATUSES = frozenset((429, 503))
# Last event of a complete stream from a stand-in engine.
LAST_EVENT = b'id: 5\n'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTemplate:
    """Kind of request that the stand-in targets serve."""

    method: str
    path: str
    # Piece counts by stage, comma-separated; empty without stages.
    pieces: str = ''
    repeatable: bool = True


READ = RequestTemplate('GET', '/read/menu')
BOOK = RequestTemplate('POST', '/book/walk', repeatable=False)
BRIEF = RequestTemplate('POST', '/brief/walk', '2,1')
REQUEST_TEMPLATES = (READ, BOOK, BRIEF)


class ReplyVerdict(enum.Enum):
    """Caller's classification of a reply."""

    WHOLE = 'whole'
    WRONG = 'wrong'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayCall:
    """One attempt of a request by a caller."""

    template: RequestTemplate
    attempt_id: str = dataclasses.field(default_factory=new_identifier)

    def to_http_call(self, address: str) -> HttpCall:
        """Returns the HTTP call that sends this attempt to a gateway.

        Args:
            address: Caller address of the gateway.
        """
        headers = {
            'host': HOST,
            'x-attempt-id': self.attempt_id,
            'x-deadline-ms': str(DEADLINE_MS),
            'authorization': f'Token {API_KEY}',
        }
        if self.template.pieces:
            headers |= {
                'x-pieces': self.template.pieces,
                'x-piece-key': self.attempt_id,
                'x-model': 'm',
                'x-token-count': '100,20',
                'x-prefix-hash': 'aa:60,bb:40',
            }
        return HttpCall(
            address=address,
            method=self.template.method,
            path=self.template.path,
            headers=headers,
            timeout_ms=CALL_TIMEOUT_MS,
            repeatable=False,
        )

    def classify_reply(self, reply: HttpReply) -> ReplyVerdict:
        """Classifies a reply.

        A complete reply carries the signature header with the id of this
        attempt and, if it is a stream, its last event.

        Args:
            reply: Reply to the HTTP call of this attempt.
        """
        if reply.status in NOT_RUN_STATUSES:
            return ReplyVerdict.NOT_RUN
        if reply.status != STATUS_OK:
            return ReplyVerdict.UNKNOWN
        stamp = reply.headers.get('x-server-stamp', '')
        complete = not self.template.pieces or LAST_EVENT in reply.body
        right = complete and stamp.endswith(self.attempt_id)
        return ReplyVerdict.WHOLE if right else ReplyVerdict.WRONG


def curl_line(call: HttpCall) -> str:
    """Returns a curl command line that sends a call.

    Args:
        call: HTTP call to send.
    """
    url = f'http://{call.address}{call.path}'
    headers = [
        word
        for name, text in call.headers.items()
        for word in ('-H', f'{name}: {text}')
    ]
    return shlex.join(['curl', '-sS', '-N', '-X', call.method, *headers, url])
