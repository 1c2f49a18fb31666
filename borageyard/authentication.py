"""Checks of the access tokens of operators and organisations."""

import hashlib
import hmac

from .configuration import Organisation
from .errors import ErrorKind, Refusal, RefusalError
from .http_messages import HttpRequest

OPERATOR_TOKEN_HEADER = 'x-borage-token'
AUTHORISATION_HEADER = 'authorization'
BEARER_SCHEME = 'bearer'


def is_operator(token: str, request: HttpRequest) -> bool:
    """Returns whether a request carries the operator token.

    Args:
        token: Token in the settings; if empty, every request passes.
        request: The request.
    """
    return not token or _equal_in_constant_time(
        token,
        request.header(OPERATOR_TOKEN_HEADER),
    )


def check_organisation_token(
    organisation: Organisation | None,
    request: HttpRequest,
) -> None:
    """Checks the bearer token of an organisation that requires one.

    Args:
        organisation: Organisation that the request names; none if it is
            unknown.
        request: The request.

    Raises:
        RefusalError: If the token is missing or wrong.
    """
    if organisation is None or not organisation.token_sha256:
        return
    scheme, _, token = request.header(AUTHORISATION_HEADER).partition(' ')
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    matches = _equal_in_constant_time(organisation.token_sha256, digest)
    if not matches or scheme.lower() != BEARER_SCHEME:
        raise RefusalError(Refusal(ErrorKind.UNAUTHORISED))


def _equal_in_constant_time(expected: str, found: str) -> bool:
    """Compares in constant time, so that timing reveals nothing."""
    return hmac.compare_digest(expected.encode(), found.encode())
