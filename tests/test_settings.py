"""Tests of settings files and of TLS."""

import json

import pytest
import trustme

from borageyard.commands.main import main
from borageyard.generated.settings import TlsSettings
from borageyard.http_client import HttpCall, HttpCallError, HttpClient
from borageyard.http_messages import json_response
from borageyard.http_server import HttpServer
from borageyard.settings import client_tls, server_tls


def settings_with(**changes):
    """Returns the settings of an entry."""
    nowhere = '127.0.0.1:1'
    return {
        'instance_id': 'entry-0',
        'failure_domain': 'kochi-a',
        'listen_address': '127.0.0.1:0',
        'peer_address': '127.0.0.1:0',
        'platform': {
            'log_address': nowhere,
            'instances_address': nowhere,
            'weights_address': nowhere,
        },
        **changes,
    }


@pytest.fixture
def tls(tmp_path):
    """Returns settings with certificates for loopback."""
    authority = trustme.CA()
    certificate = authority.issue_cert('127.0.0.1')
    authority.cert_pem.write_to_path(tmp_path / 'ca.pem')
    certificate.private_key_pem.write_to_path(tmp_path / 'key.pem')
    certificate.cert_chain_pems[0].write_to_path(tmp_path / 'cert.pem')
    return TlsSettings(
        certificate_path=str(tmp_path / 'cert.pem'),
        key_path=str(tmp_path / 'key.pem'),
        authority_path=str(tmp_path / 'ca.pem'),
    )


async def hello(request):
    """Answers every request with its path."""
    return json_response({'hello': request.path})


class TestTls:
    """Listeners and clients with TLS."""

    async def test_both_sides(self, tls):
        """A client that trusts the server's authority is served."""
        server = HttpServer(hello, tls=server_tls(tls))
        async with server, HttpClient(tls=client_tls(tls)) as client:
            await server.start('127.0.0.1:0')
            call = HttpCall(server.address, 'GET', '/x')
            replies = [await client.request(call) for _ in range(2)]
        assert [json.loads(reply.body) for reply in replies] == [
            {'hello': '/x'},
            {'hello': '/x'},
        ]

    async def test_untrusted_server_is_not_called(self, tls, tmp_path):
        """A server certificate of another authority fails before any send."""
        trustme.CA().cert_pem.write_to_path(tmp_path / 'other.pem')
        other = str(tmp_path / 'other.pem')
        strict = tls.model_copy(update={'authority_path': other})
        server = HttpServer(hello, tls=server_tls(tls))
        async with server, HttpClient(tls=client_tls(strict)) as client:
            await server.start('127.0.0.1:0')
            with pytest.raises(HttpCallError) as caught:
                await client.request(HttpCall(server.address, 'GET', '/'))
        assert not caught.value.sent

    @pytest.mark.parametrize(
        ('field', 'text'),
        [
            ('certificate_path', None),
            ('key_path', None),
            ('authority_path', None),
            ('certificate_path', 'no PEM'),
            ('authority_path', 'no PEM'),
        ],
    )
    def test_bad_path_starts_nothing(self, field, text, tls, tmp_path, capsys):
        """The command names the setting, its value and what was expected."""
        broken = tmp_path / 'broken.pem'
        if text:
            broken.write_text(text)
        fields = {**tls.model_dump(), field: str(broken)}
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps(settings_with(tls=fields)))
        assert main(['entry', '--settings', str(path)]) == 2
        shown = capsys.readouterr().err
        assert f'$.tls.{field}: found "{broken}"; expected' in shown


class TestBadSettings:
    """Settings that don't match the schema."""

    @pytest.mark.parametrize(
        ('change', 'path'),
        [
            ({'listen_address': 'here'}, '$.listen_address'),
            ({'unknown': 1}, '$.unknown'),
            ({'http': {'max_body_bytes': 1}}, '$.http.max_body_bytes'),
            ({'platform': {}}, '$.platform.log_address'),
        ],
    )
    def test_command_names_the_fault(self, change, path, tmp_path, capsys):
        """The entry doesn't start, and the exit code is 2."""
        path_to = tmp_path / 'settings.json'
        path_to.write_text(json.dumps(settings_with(**change)))
        assert main(['entry', '--settings', str(path_to)]) == 2
        assert f'{path}: found' in capsys.readouterr().err

    @pytest.mark.parametrize('text', ['', '{', '[]', '\x00'])
    def test_text_that_is_no_object(self, text, tmp_path):
        """A file that is not a JSON object is rejected."""
        path_to = tmp_path / 'settings.json'
        path_to.write_text(text)
        assert main(['entry', '--settings', str(path_to)]) == 2
