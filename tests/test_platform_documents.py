"""Tests of decoding the platform's documents and settings."""

import json
import types

import pytest

from borageyard.document_validation import DocumentError
from borageyard.platform.documents import DocumentDecoder
from borageyard.platform.settings import load_settings
from borageyard.roster import TargetPhase
from borageyard.serving_configuration import RequestKind, group_services
from borageyard.standins.gateway_deployment import (
    HOST,
    KEY,
    ORGANISATION,
    build_document,
)

NODE = types.MappingProxyType(
    {
        'nodeName': 'front-1',
        'ip': '10.1.0.41',
        'zone': 'north',
        'listen': {
            'front': '10.1.0.41:8625',
            'ready': '10.1.0.41:8621',
            'directory': '10.1.0.41:8620',
        },
        'internalPorts': [7740, 7755],
        'bounds': {'retryBudgetRatio': 0.2, 'graceS': 8, 'ttl_max_s': 5},
        'platform': {'address': '10.200.1.7:8624', 'form': 'log'},
        'fieldOfTomorrow': {},
    }
)
TARGET = types.MappingProxyType(
    {
        'service': 'desk',
        'address': '10.128.0.9:8080',
        'zone': 'north',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldLeftMs': 0,
        'sequence': 4,
        'born': 1700,
    }
)


def configuration(document):
    """Returns a decoded operator's document."""
    return DocumentDecoder().configuration(json.dumps(document).encode())


def target(**fields):
    """Returns a decoded announcement."""
    content = json.dumps({**TARGET, **fields}).encode()
    return DocumentDecoder().target('i-1', content)


class TestConfiguration:
    """The operator's document."""

    def test_routes_and_services(self):
        """Names on the wire become the product's fields."""
        known = configuration(build_document())
        route = known.find_route(HOST, '/brief/a')
        assert route.kind is RequestKind.STREAMING
        assert (route.resumable, route.target_event_gap_ms) == (True, 400)
        assert [stage.after for stage in route.stages] == [(), (0,)]
        planner = known.services['planner']
        assert planner.batch.size == 4
        assert planner.batch.result_memory_bytes == 1_000_000
        assert known.keys[KEY].name == ORGANISATION
        assert known.limits.max_body_bytes == 100_000

    def test_longest_prefix_wins(self):
        """A split route takes its part of the paths."""
        document = build_document()
        split = {**document['routes'][0], 'pathPrefix': '/read/new/'}
        document['routes'].append({**split, 'name': 'split'})
        known = configuration(document)
        assert known.find_route(HOST, '/read/new/a').name == 'split'
        assert known.find_route(HOST, '/read/old').name == 'read'
        assert known.find_route(HOST, '/reader/a') is None

    def test_weighted_services(self):
        """A route may name several services."""
        document = build_document()
        document['routes'][0]['weightedBackends'] = [
            {'service': 'desk', 'weight': 90},
            {'service': 'model', 'weight': 10},
        ]
        route = configuration(document).find_route(HOST, '/read/a')
        assert [backend.weight for backend in route.backends] == [90, 10]

    def test_unknown_kind_is_repeated_never(self):
        """What this version doesn't know is treated with the most care."""
        document = build_document()
        document['routes'][0]['kind'] = 'new'
        route = configuration(document).find_route(HOST, '/read/a')
        assert not route.repeatable

    def test_groups_of_services(self):
        """Services that routes use together are scheduled together."""
        groups = group_services(configuration(build_document()).routes)
        assert groups['model'] == groups['planner']
        assert groups['desk'] != groups['model']

    @pytest.mark.parametrize('content', [b'', b'[]', b'{"routes": 5}', b'\xff'])
    def test_malformed(self, content):
        """A broken document is refused as a whole."""
        with pytest.raises(DocumentError):
            DocumentDecoder().configuration(content)


class TestTarget:
    """What targets announce."""

    def test_fields(self):
        """Start and number of the announcement order them."""
        row = target(state='draining')
        assert row.phase is TargetPhase.DRAINING
        assert row.version_key == (1700, 4)
        assert row.failure_domain == 'north'

    @pytest.mark.parametrize(
        'fields',
        [
            {'state': 'up'},
            {'service': 5},
            {'address': 'somewhere'},
            {'slots': '8'},
            {'slots': -1},
            {'zone': None},
            {'born': 'yesterday'},
        ],
    )
    def test_other_writers(self, fields):
        """A record of another writer names no target."""
        with pytest.raises(DocumentError):
            target(**fields)


class TestSettings:
    """The file that the platform writes for a process."""

    def load(self, tmp_path, **fields):
        """Writes the file and reads it."""
        path = tmp_path / 'node.json'
        path.write_text(json.dumps({**NODE, **fields}), encoding='utf-8')
        return load_settings(str(path))

    def test_fields(self, tmp_path):
        """Fields that are not known are left alone."""
        settings = self.load(tmp_path)
        assert settings.peer_address == '10.1.0.41:7740'
        assert settings.grace_ms == 8000
        assert settings.retry_terms.ratio == pytest.approx(0.2)
        assert settings.address_ttl_s == 2

    def test_missing(self, tmp_path):
        """The path of what is missing is named."""
        with pytest.raises(DocumentError, match='listen'):
            self.load(tmp_path, listen={})
