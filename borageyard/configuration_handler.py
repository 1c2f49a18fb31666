"""HTTP endpoints with which operators read and change the configuration."""

import dataclasses
import types
from collections.abc import Mapping
from http import HTTPStatus

from .authentication import is_operator
from .backing_services import PlatformError
from .configuration import parse_configuration
from .configuration_changes import (
    ChangeOutcome,
    ChangeReport,
    ConfigurationChanges,
)
from .configuration_log import ConfigurationFold
from .document_validation import DocumentError, check_document, parse_json
from .errors import ErrorKind, Refusal
from .generated.http_configuration import (
    ChangeBody,
    CurrentConfigurationBody,
    DifferenceBody,
    EntryProgressBody,
    ForgetBody,
    HistoryBody,
    ProposalBody,
    VersionBody,
)
from .http_messages import HttpRequest, HttpResponse, json_response
from .identifiers import new_identifier
from .wire import encode_refusal

CONFIGURATION_PATH = '/v1/configuration'
TOKEN_HEADER = 'x-borage-token'
PROPOSAL = 'proposal'
STATUSES: Mapping[ChangeOutcome, HTTPStatus] = types.MappingProxyType(
    {
        ChangeOutcome.ACCEPTED: HTTPStatus.OK,
        ChangeOutcome.DECIDED: HTTPStatus.ACCEPTED,
        ChangeOutcome.CONFLICT: HTTPStatus.CONFLICT,
        ChangeOutcome.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
        ChangeOutcome.REFUSED: HTTPStatus.SERVICE_UNAVAILABLE,
        ChangeOutcome.UNKNOWN: HTTPStatus.ACCEPTED,
    },
)


class ConfigurationHandler:
    """Handles HTTP requests of operators for the configuration."""

    def __init__(
        self,
        fold: ConfigurationFold,
        changes: ConfigurationChanges,
        operator_token: str,
    ) -> None:
        """Creates the handler and its routes.

        Args:
            fold: Folded configuration stream.
            changes: Applies changes and reports on them.
            operator_token: Token that requests must carry; if it is empty,
                no token is required.
        """
        self._fold = fold
        self._changes = changes
        self._operator_token = operator_token
        self._routes = {
            ('POST', CONFIGURATION_PATH): self._apply,
            ('GET', CONFIGURATION_PATH): self._show,
            ('GET', f'{CONFIGURATION_PATH}/history'): self._history,
            ('GET', f'{CONFIGURATION_PATH}/progress'): self._progress,
            ('POST', f'{CONFIGURATION_PATH}/forget'): self._forget,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Returns the response to a request below the configuration path."""
        if not is_operator(self._operator_token, request):
            return encode_refusal('', Refusal(ErrorKind.UNAUTHORISED))
        route = self._routes.get((request.method, request.path))
        if route is None:
            return encode_refusal('', Refusal(ErrorKind.NOT_FOUND))
        return await route(request)

    async def _progress(self, request: HttpRequest) -> HttpResponse:
        change_id = request.query.get('change_id', '')
        report = await self._changes.progress(change_id)
        return json_response(_change_body(report).model_dump())

    async def _apply(self, request: HttpRequest) -> HttpResponse:
        try:
            proposal = _parse_proposal(request)
        except DocumentError as error:
            kind = ErrorKind.CONFIGURATION_INVALID
            return encode_refusal('', Refusal(kind, detail=str(error)))
        report = await self._changes.apply(proposal)
        return json_response(
            _change_body(report).model_dump(),
            STATUSES[report.outcome],
        )

    async def _forget(self, request: HttpRequest) -> HttpResponse:
        try:
            body = check_document(
                ForgetBody,
                parse_json(request.body, 'forget'),
                'forget',
            )
        except DocumentError as error:
            kind = ErrorKind.BAD_REQUEST
            return encode_refusal('', Refusal(kind, detail=str(error)))
        try:
            await self._changes.forget(body.member)
        except PlatformError as error:
            kind = ErrorKind.LOG_UNAVAILABLE
            return encode_refusal('', Refusal(kind, detail=str(error)))
        return json_response(body.model_dump())

    async def _show(self, request: HttpRequest) -> HttpResponse:
        state = self._fold.state
        row = state.history[-1] if state.history else None
        accepted = row is not None and self._changes.is_accepted(row.position)
        body = CurrentConfigurationBody(
            version=state.version,
            accepted=accepted,
            digest=row.digest if row else '',
            author=row.author if row else '',
            document=state.document,
        )
        return json_response(body.model_dump())

    async def _history(self, request: HttpRequest) -> HttpResponse:
        versions = [
            VersionBody(
                version=row.version,
                change_id=row.change_id,
                author=row.author,
                digest=row.digest,
                appended_at_ms=row.appended_at_ms,
                accepted=self._changes.is_accepted(row.position),
            )
            for row in self._fold.state.history
        ]
        return json_response(HistoryBody(versions=versions).model_dump())


def _parse_proposal(request: HttpRequest) -> ProposalBody:
    decoded = parse_json(request.body, PROPOSAL)
    proposal = check_document(ProposalBody, decoded, PROPOSAL)
    parse_configuration(proposal.document, 0)
    if proposal.change_id:
        return proposal
    return proposal.model_copy(update={'change_id': new_identifier()})


def _change_body(report: ChangeReport) -> ChangeBody:
    return ChangeBody(
        change_id=report.change_id,
        outcome=report.outcome.value,
        version=report.version,
        author=report.author,
        message=report.message,
        differences=[
            DifferenceBody(**dataclasses.asdict(difference))
            for difference in report.differences
        ],
        entries=[
            EntryProgressBody(member=member, state=state.value)
            for member, state in report.entries
        ],
    )
