"""Client of the operators' endpoints of the configuration."""

import json
from collections.abc import Mapping
from typing import Any

from ..authentication import OPERATOR_TOKEN_HEADER
from ..document_validation import DocumentError, Problem, abbreviate_json
from ..http_client import HttpCall, HttpCallError, HttpClient, HttpReply
from ..http_messages import encode_json

PATH = '/v1/configuration'
CALL_TIMEOUT_MS = 10_000
STATUS_OK = 200


class NoEntryError(Exception):
    """No entry answered."""


class OperatorClient:
    """Asks entries one after the other until one answers."""

    def __init__(
        self,
        client: HttpClient,
        addresses: list[str],
        token: str,
    ) -> None:
        """Names the entries.

        Args:
            client: Sends the calls.
            addresses: Addresses of entries, the first preferred.
            token: Token of operators; empty for none.
        """
        self._client = client
        self._addresses = addresses
        self._token = token

    async def get(self, path: str) -> dict[str, Any]:
        """Returns the JSON body of an endpoint.

        Args:
            path: Path under the configuration's path.

        Raises:
            NoEntryError: If no entry answered.
        """
        reply = await self._call('GET', f'{PATH}{path}', b'')
        return _decode(reply)

    async def post(
        self,
        body: Mapping[str, Any],
        path: str = '',
    ) -> dict[str, Any]:
        """Proposes a change; its id makes asking twice harmless.

        Args:
            body: The proposal.
            path: Path under the configuration's path.

        Raises:
            NoEntryError: If no entry answered.
        """
        encoded = encode_json(body)
        reply = await self._call('POST', f'{PATH}{path}', encoded)
        return _decode(reply)

    async def _call(self, method: str, path: str, body: bytes) -> HttpReply:
        reasons = []
        for address in self._addresses:
            call = HttpCall(
                address=address,
                method=method,
                path=path,
                body=body,
                headers={OPERATOR_TOKEN_HEADER: self._token},
                timeout_ms=CALL_TIMEOUT_MS,
            )
            try:
                return await self._client.request(call)
            except HttpCallError as error:
                reasons.append(f'{address}: {error.reason}')
        raise NoEntryError('; '.join(reasons))


def _decode(reply: HttpReply) -> dict[str, Any]:
    try:
        body = json.loads(reply.body)
    except ValueError as error:
        raise NoEntryError(f'status {reply.status}, no JSON') from error
    if not isinstance(body, dict):
        problem = Problem('$', abbreviate_json(body), 'an object')
        raise DocumentError('answer of the entry', (problem,))
    if reply.status != STATUS_OK and 'outcome' not in body:
        raise NoEntryError(f'{body.get("kind")}: {body.get("detail", "")}')
    return body
