"""Tests of the tokens of operators and organisations."""

import hashlib

import pytest

from borageyard.authentication import check_organisation_token, is_operator
from borageyard.configuration import Organisation
from borageyard.errors import ErrorKind, RefusalError
from borageyard.http_messages import HttpRequest

DIGEST = hashlib.sha256(b'secret').hexdigest()


def request_with(headers):
    """Returns a request with headers."""
    return HttpRequest('POST', '/', {}, headers)


def organisation(digest):
    """Returns an organisation whose token has a digest."""
    return Organisation('dispatch', 1, 1, 1, digest)


class TestOperator:
    """The token of operator endpoints."""

    @pytest.mark.parametrize(
        ('token', 'shown', 'known'),
        [
            ('', '', True),
            ('t', 't', True),
            ('t', '', False),
            ('t', 'tt', False),
            ('t', 'é', False),
        ],
    )
    def test_token_is_compared(self, token, shown, known):
        """Only the whole token opens the endpoint."""
        request = request_with({'x-borage-token': shown})
        assert is_operator(token, request) is known


class TestOrganisation:
    """The token of an organisation's callers."""

    @pytest.mark.parametrize(
        ('digest', 'shown'),
        [('', ''), (DIGEST, 'Bearer secret'), (DIGEST, 'bearer  secret')],
    )
    def test_right_token_passes(self, digest, shown):
        """A caller with the token, or without one where none is asked."""
        check_organisation_token(
            organisation(digest),
            request_with({'authorization': shown}),
        )

    @pytest.mark.parametrize(
        'shown',
        ['', 'secret', 'Bearer', 'Bearer wrong', 'Basic secret', DIGEST],
    )
    def test_wrong_token_is_refused(self, shown):
        """Anything else is not run."""
        with pytest.raises(RefusalError) as caught:
            check_organisation_token(
                organisation(DIGEST),
                request_with({'authorization': shown}),
            )
        assert caught.value.refusal.kind is ErrorKind.UNAUTHORISED
        assert caught.value.refusal.not_run is True
