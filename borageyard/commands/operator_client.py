"""Client for the configuration endpoints of operators."""

import json
from collections.abc import Mapping
from typing import Any

from ..authentication import OPERATOR_TOKEN_HEADER
from ..document_validation import DocumentError, Problem, abbreviate_json
from ..http_client import HttpCall, HttpCallError, HttpClient, HttpReply
from ..http_messages import encode_json

CONFIGURATION_PATH = '/v1/configuration'
CALL_TIMEOUT_MS = 10_000
STATUS_OK = 200


class NoEntryError(Exception):
    """No entry gave a usable answer."""


class OperatorClient:
    """Sends each request to the entries in turn until one answers."""

    def __init__(
        self,
        client: HttpClient,
        addresses: list[str],
        token: str,
    ) -> None:
        """Creates a client for the given entries.

        Args:
            client: HTTP client that sends the requests.
            addresses: Addresses of entries, in order of preference.
            token: Operator token; empty for none.
        """
        self._client = client
        self._addresses = addresses
        self._token = token

    async def get(self, path: str) -> dict[str, Any]:
        """Returns the decoded JSON body of a configuration endpoint.

        Args:
            path: Path relative to ``/v1/configuration``.

        Raises:
            NoEntryError: If no entry answered, or one answered without JSON
                or with an error.
            DocumentError: If the answer is not a JSON object.
        """
        reply = await self._call('GET', f'{CONFIGURATION_PATH}{path}', b'')
        return _decode_body(reply)

    async def post(
        self,
        body: Mapping[str, Any],
        path: str = '',
    ) -> dict[str, Any]:
        """Posts a body and returns the decoded JSON reply.

        The change id in a proposal makes repeating it harmless.

        Args:
            body: JSON body, such as a proposal.
            path: Path relative to ``/v1/configuration``.

        Raises:
            NoEntryError: If no entry answered, or one answered without JSON
                or with an error.
            DocumentError: If the answer is not a JSON object.
        """
        encoded = encode_json(body)
        reply = await self._call('POST', f'{CONFIGURATION_PATH}{path}', encoded)
        return _decode_body(reply)

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


def _decode_body(reply: HttpReply) -> dict[str, Any]:
    try:
        body = json.loads(reply.body)
    except ValueError as error:
        raise NoEntryError(
            f'status {reply.status}, body is not JSON'
        ) from error
    if not isinstance(body, dict):
        problem = Problem('$', abbreviate_json(body), 'an object')
        raise DocumentError('answer of the entry', (problem,))
    if reply.status != STATUS_OK and 'outcome' not in body:
        raise NoEntryError(f'{body.get("kind")}: {body.get("detail", "")}')
    return body
