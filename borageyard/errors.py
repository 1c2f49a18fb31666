"""Error kinds of requests and the response that each one gets."""

import dataclasses
import enum
import types
from collections.abc import Mapping
from http import HTTPStatus


class ErrorKind(enum.StrEnum):
    """Reason why a request ended without its whole answer.

    The set is closed: no request ends in any other way.
    """

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADER_TOO_LARGE = 'header_too_large'
    REQUEST_TIMEOUT = 'request_timeout'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    UNAUTHORISED = 'unauthorised'
    NOT_FOUND = 'not_found'
    KEY_REQUIRED = 'key_required'
    KEY_EXPIRED = 'key_expired'
    KEY_IN_FUTURE = 'key_in_future'
    KEY_CONFLICT = 'key_conflict'
    NOT_READY = 'not_ready'
    NO_PERMISSION = 'no_permission'
    DRAINING = 'draining'
    OVERLOADED = 'overloaded'
    LIMIT_EXCEEDED = 'limit_exceeded'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    NO_TARGET = 'no_target'
    TARGET_FAILED = 'target_failed'
    LOG_UNAVAILABLE = 'log_unavailable'
    QUARANTINED = 'quarantined'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CONFIGURATION_INVALID = 'configuration_invalid'
    CONFIGURATION_CONFLICT = 'configuration_conflict'
    INTERNAL = 'internal'


class RunStatus(enum.Enum):
    """Whether work that must not be repeated was executed."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """HTTP status, retry hint and message that a caller gets."""

    status: HTTPStatus
    may_retry: bool
    message: str


ERROR_ANSWERS: Mapping[ErrorKind, ErrorAnswer] = types.MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorAnswer(
            HTTPStatus.BAD_REQUEST,
            may_retry=False,
            message='The request is malformed.',
        ),
        ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            may_retry=False,
            message='The body is larger than this entry accepts.',
        ),
        ErrorKind.HEADER_TOO_LARGE: ErrorAnswer(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            may_retry=False,
            message='The head of the request is too large.',
        ),
        ErrorKind.REQUEST_TIMEOUT: ErrorAnswer(
            HTTPStatus.REQUEST_TIMEOUT,
            may_retry=True,
            message='The request did not arrive in time.',
        ),
        ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(
            HTTPStatus.METHOD_NOT_ALLOWED,
            may_retry=False,
            message='The endpoint does not take this method.',
        ),
        ErrorKind.UNAUTHORISED: ErrorAnswer(
            HTTPStatus.UNAUTHORIZED,
            may_retry=False,
            message='The token is missing or wrong.',
        ),
        ErrorKind.NOT_FOUND: ErrorAnswer(
            HTTPStatus.NOT_FOUND,
            may_retry=False,
            message='There is no such pipeline, organisation or endpoint.',
        ),
        ErrorKind.KEY_REQUIRED: ErrorAnswer(
            HTTPStatus.BAD_REQUEST,
            may_retry=False,
            message='This pipeline needs an idempotency key (UUID version 7).',
        ),
        ErrorKind.KEY_EXPIRED: ErrorAnswer(
            HTTPStatus.CONFLICT,
            may_retry=False,
            message='The idempotency key is older than the claim window.',
        ),
        ErrorKind.KEY_IN_FUTURE: ErrorAnswer(
            HTTPStatus.BAD_REQUEST,
            may_retry=False,
            message='The idempotency key was made in the future.',
        ),
        ErrorKind.KEY_CONFLICT: ErrorAnswer(
            HTTPStatus.CONFLICT,
            may_retry=False,
            message='The idempotency key belongs to another request.',
        ),
        ErrorKind.NOT_READY: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            may_retry=True,
            message='The entry is starting.',
        ),
        ErrorKind.NO_PERMISSION: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            may_retry=True,
            message='The entry cannot confirm the configuration in force.',
        ),
        ErrorKind.DRAINING: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            may_retry=True,
            message='The entry is stopping; use another one.',
        ),
        ErrorKind.OVERLOADED: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            may_retry=True,
            message='The queue is full.',
        ),
        ErrorKind.LIMIT_EXCEEDED: ErrorAnswer(
            HTTPStatus.TOO_MANY_REQUESTS,
            may_retry=True,
            message='The organisation is over its limit.',
        ),
        ErrorKind.DEADLINE_UNREACHABLE: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            may_retry=True,
            message='The request cannot finish before its deadline.',
        ),
        ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
            HTTPStatus.GATEWAY_TIMEOUT,
            may_retry=True,
            message='The deadline passed before the request finished.',
        ),
        ErrorKind.NO_TARGET: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            may_retry=True,
            message='No target of a stage can take the request.',
        ),
        ErrorKind.TARGET_FAILED: ErrorAnswer(
            HTTPStatus.BAD_GATEWAY,
            may_retry=True,
            message='A target failed to answer.',
        ),
        ErrorKind.LOG_UNAVAILABLE: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            may_retry=True,
            message='The log cannot record the request now.',
        ),
        ErrorKind.QUARANTINED: ErrorAnswer(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            may_retry=False,
            message='The request has crashed targets and is quarantined.',
        ),
        ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
            HTTPStatus.BAD_GATEWAY,
            may_retry=False,
            message='It is unknown whether the request ran.',
        ),
        ErrorKind.CONFIGURATION_INVALID: ErrorAnswer(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            may_retry=False,
            message='The configuration is invalid.',
        ),
        ErrorKind.CONFIGURATION_CONFLICT: ErrorAnswer(
            HTTPStatus.CONFLICT,
            may_retry=False,
            message='Another configuration was applied first.',
        ),
        ErrorKind.INTERNAL: ErrorAnswer(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            may_retry=False,
            message='The entry failed.',
        ),
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Outcome of a request that did not get its whole answer."""

    kind: ErrorKind
    ran: RunStatus = RunStatus.NOT_RUN
    detail: str = ''
    retry_after_ms: int = 0
    stages_ran: tuple[str, ...] = ()

    @property
    def answer(self) -> ErrorAnswer:
        """Returns the status, retry hint and message of this kind."""
        return ERROR_ANSWERS[self.kind]

    @property
    def not_run(self) -> bool | str:
        """Returns the value of the ``not_run`` field on the wire.

        It is a boolean, or ``unknown`` if the work may have been executed.
        """
        if self.ran is RunStatus.UNKNOWN:
            return RunStatus.UNKNOWN.value
        return self.ran is RunStatus.NOT_RUN


class RefusalError(Exception):
    """Raised to end a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Creates the error.

        Args:
            refusal: Refusal that the request handler sends to the caller.
        """
        super().__init__(f'{refusal.kind}: {refusal.detail}')
        self.refusal = refusal
