"""Tests of the access tokens of operators and organisations."""

import hashlib

import pytest

from borageyard.authentication import check_organisation_token, is_operator
from borageyard.configuration import Organisation
from borageyard.errors import ErrorKind, RefusalError
from borageyard.http_messages import HttpRequest

DIGEST = hashlib.sha256(b'secret').hexdigest()


def request_with(headers):
    """Returns an HTTP request with the given headers."""
    return HttpRequest('POST', '/', {}, headers)


def organisation(digest):
    """Returns an organisation whose token has the given digest."""
    return Organisation('dispatch', 1, 1, 1, digest)


class TestOperator:
    """Tests of the operator token."""

    @pytest.mark.parametrize(
        ('token', 'shown', 'accepted'),
        [
            ('', '', True),
            ('t', 't', True),
            ('t', '', False),
            ('t', 'tt', False),
            ('t', 'é', False),
        ],
    )
    def test_token_is_compared(self, token, shown, accepted):
        """Only the complete token passes; an empty setting lets all pass."""
        request = request_with({'x-borage-token': shown})
        assert is_operator(token, request) is accepted


class TestOrganisation:
    """Tests of the bearer token of an organisation."""

    @pytest.mark.parametrize(
        ('digest', 'shown'),
        [('', ''), (DIGEST, 'Bearer secret'), (DIGEST, 'bearer  secret')],
    )
    def test_right_token_passes(self, digest, shown):
        """The right token passes, and so does none if none is required."""
        check_organisation_token(
            organisation(digest),
            request_with({'authorization': shown}),
        )

    @pytest.mark.parametrize(
        'shown',
        ['', 'secret', 'Bearer', 'Bearer wrong', 'Basic secret', DIGEST],
    )
    def test_wrong_token_is_refused(self, shown):
        """A missing or wrong token or scheme is refused as unauthorised."""
        with pytest.raises(RefusalError) as caught:
            check_organisation_token(
                organisation(DIGEST),
                request_with({'authorization': shown}),
            )
        assert caught.value.refusal.kind is ErrorKind.UNAUTHORISED
        assert caught.value.refusal.not_run is True
