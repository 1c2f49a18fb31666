"""Tests of decoding documents and settings of the platform."""

import itertools
import json
import sys
import types

import pytest

from borageyard.document_validation import DocumentError
from borageyard.field_checks import MAX_INTEGER
from borageyard.platform.documents import DocumentDecoder
from borageyard.platform.settings import load_settings
from borageyard.roster import TargetPhase
from borageyard.serving_configuration import (
    ColdStart,
    RequestKind,
    group_services,
)
from borageyard.standins.gateway_deployment import (
    API_KEY,
    HOST,
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
HUGE_NUMBERS = (10**30, 10**400)
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
    """Returns the decoded configuration of an operator's document."""
    return DocumentDecoder().configuration(json.dumps(document).encode())


def scan(known, host, path):
    """Returns the first route with the longest prefix of a path."""
    fitting = [
        route
        for route in known.routes
        if route.host == host and path.startswith(route.path_prefix)
    ]
    return max(fitting, key=lambda route: len(route.path_prefix), default=None)


def target(**fields):
    """Returns the decoded announcement of a target."""
    content = json.dumps({**TARGET, **fields}).encode()
    return DocumentDecoder().target('i-1', content)


class TestConfiguration:
    """Decoding of the operator's configuration document."""

    def test_routes_and_services(self):
        """Fields of the document are decoded into internal fields."""
        known = configuration(build_document())
        route = known.find_route(HOST, '/brief/a')
        assert route.kind is RequestKind.STREAMING
        assert (route.resumable, route.target_event_gap_ms) == (True, 400)
        assert [stage.after for stage in route.stages] == [(), (0,)]
        planner = known.services['planner']
        assert planner.batch.size == 4
        assert planner.batch.result_memory_bytes == 1_000_000
        assert known.keys[API_KEY].name == ORGANISATION
        assert known.limits.max_body_bytes == 100_000

    def test_longest_prefix_wins(self):
        """The route with the longest matching prefix is selected."""
        document = build_document()
        split = {**document['routes'][0], 'pathPrefix': '/read/new/'}
        document['routes'].append({**split, 'name': 'split'})
        known = configuration(document)
        assert known.find_route(HOST, '/read/new/a').name == 'split'
        assert known.find_route(HOST, '/read/old').name == 'read'
        assert known.find_route(HOST, '/reader/a') is None

    def test_route_is_found_among_many(self):
        """The index finds what a look at all routes does."""
        document = build_document()
        template = document['routes'][0]
        prefixes = ['/a/', '/a/b/', '/a/bc/', '/aa/', '/b/a/', '/a/']
        document['routes'] = [
            {**template, 'host': host, 'name': prefix, 'pathPrefix': prefix}
            for host, prefix in itertools.product(('h1', 'h2'), prefixes)
        ]
        known = configuration(document)
        for host, path in itertools.product(
            ('h1', 'h2', 'h3'), ['/', '/a', '/a/b/c', '/a/bc/', '/aa/b', '/c/']
        ):
            assert known.find_route(host, path) is scan(known, host, path)

    def test_version_is_decoded_as_if_it_were_the_first(self):
        """Routes of the version before are used only where they are equal."""
        decoder = DocumentDecoder()
        documents = [build_document(version) for version in range(4)]
        documents[1]['routes'][0]['timeoutMs'] = 7
        documents[2]['routes'].reverse()
        routes = documents[3]['routes']
        routes[1] = {**routes[0], 'host': 'h'}
        for document in documents:
            decoded = decoder.configuration(json.dumps(document).encode())
            assert decoded == configuration(document)
        routes[2]['stages'] = 5
        with pytest.raises(DocumentError, match=r'routes\[2\]'):
            decoder.configuration(json.dumps(documents[3]).encode())

    def test_weighted_services(self):
        """A route with several services keeps their weights."""
        document = build_document()
        document['routes'][0]['weightedBackends'] = [
            {'service': 'desk', 'weight': 90},
            {'service': 'model', 'weight': 10},
        ]
        route = configuration(document).find_route(HOST, '/read/a')
        assert [backend.weight for backend in route.backends] == [90, 10]

    def test_unknown_kind_is_repeated_never(self):
        """Requests of a kind that this version lacks are never retried."""
        document = build_document()
        document['routes'][0]['kind'] = 'new'
        route = configuration(document).find_route(HOST, '/read/a')
        assert not route.repeatable

    def test_groups_of_services(self):
        """Services that a route uses together belong to the same group."""
        groups = group_services(configuration(build_document()).routes)
        assert groups['model'] == groups['planner']
        assert groups['desk'] != groups['model']

    @pytest.mark.parametrize('number', HUGE_NUMBERS, ids=['10^30', '10^400'])
    @pytest.mark.parametrize(
        ('section', 'field'),
        [
            ('routes', 'priority'),
            ('routes', 'maxAttempts'),
            ('services', 'maxConnections'),
            ('engine', 'slots'),
            ('engine', 'kvCapacity'),
            ('pieces', 'slots'),
            ('pieces', 'queue'),
            ('pieces', 'batch'),
            ('tenants', 'priority'),
            ('limits', 'maxHeaderBytes'),
            ('limits', 'maxBodyBytes'),
            ('limits', 'headerTimeoutMs'),
            ('limits', 'idleTimeoutMs'),
        ],
    )
    def test_number_beyond_all_counts(self, section, field, number):
        """It is as good as the greatest count, and no number is beyond it."""
        document = build_document()
        service = {**document['services'][0], 'engine': {}, 'pieces': {}}
        document['services'][0] = service
        places = {
            'routes': document['routes'][0],
            'services': service,
            'tenants': document['tenants'][0],
            'limits': document['limits'],
            **service,
        }
        places[section][field] = number
        huge = configuration(document)
        places[section][field] = MAX_INTEGER
        assert huge == configuration(document)

    @pytest.mark.parametrize('field', ['coldStartS', 'coldPerS'])
    def test_cold_start_that_cannot_be_read_is_not_stated(self, field):
        """The rest of the document is in force."""
        document = build_document()
        document['services'][0][field] = 10**400
        cold = configuration(document).services['desk'].cold_start
        assert cold == ColdStart(0, 0)

    @pytest.mark.parametrize('content', [b'', b'[]', b'{"routes": 5}', b'\xff'])
    def test_malformed(self, content):
        """A malformed document is rejected as a whole."""
        with pytest.raises(DocumentError):
            DocumentDecoder().configuration(content)


class TestTarget:
    """Decoding of the announcements of targets."""

    def test_fields(self):
        """Start time and announcement number order the records of a target."""
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
            {'address': '10.128.0.9:65536'},
            {'address': '10.128.0.9:0'},
            {'address': '999.1.1.1:80'},
            {'address': '1\u0660.1.1.1:80'},
            {'address': '10.128.0.9:8\u0660'},
            {'born': 10**30},
            {'sequence': 10**30},
            {'slots': 10**30},
            {'version': 'v' * 300},
            {'zone': '\ud800'},
            {'service': '\ud800'},
            {'slots': 0},
            {'slots': True},
            {'sequence': 1.5},
            {'version': 1},
            {'coldLeftMs': None},
            {'coldLeftMs': True},
            {'coldLeftMs': '5'},
            {'coldLeftMs': [5]},
            {'coldLeftMs': {}},
            {'coldLeftMs': -(10**30)},
            {'coldLeftMs': float('nan')},
            {'coldLeftMs': float('inf')},
            {'coldLeftMs': 10**30},
            {'coldLeftMs': 10**400},
        ],
        ids=lambda fields: str(fields)[:40],
    )
    def test_other_writers(self, fields):
        """Records of other writers that describe no target are rejected."""
        with pytest.raises(DocumentError):
            target(**fields)

    @pytest.mark.parametrize('number', HUGE_NUMBERS, ids=['10^30', '10^400'])
    @pytest.mark.parametrize('field', ['sequence', 'weight', 'stage'])
    def test_number_beyond_64_bits(self, field, number):
        """A record with such a number in any field is another writer's."""
        with pytest.raises(DocumentError):
            target(**{field: number})
        with pytest.raises(DocumentError):
            target(models=[{field: [-number]}])

    @pytest.mark.parametrize('number', [2**64 - 1, -(2**63)])
    def test_number_of_64_bits(self, number):
        """A field that is not read may hold it."""
        assert target(digest=number).service == 'desk'

    @pytest.mark.parametrize(
        'missing', ['service', 'address', 'zone', 'slots', 'state']
    )
    def test_required_field_is_missing(self, missing):
        """Without it there is no telling whom to call, or for what."""
        content = {**TARGET}
        content.pop(missing)
        with pytest.raises(DocumentError, match=missing):
            DocumentDecoder().target('i-1', json.dumps(content).encode())

    @pytest.mark.parametrize(
        'missing', ['born', 'coldLeftMs', 'version', 'sequence']
    )
    def test_field_that_some_deployments_leave_out(self, missing):
        """The target is used without it."""
        content = {**TARGET}
        content.pop(missing)
        row = DocumentDecoder().target('i-1', json.dumps(content).encode())
        assert row.service == 'desk'

    @pytest.mark.parametrize('stated_ms', [-5, 0, 1500, 1500.5])
    def test_cold_time(self, stated_ms):
        """It is taken as stated, whole or not; one that is over is 0."""
        cold_left_ms = target(coldLeftMs=stated_ms).cold_left_ms
        assert cold_left_ms == pytest.approx(max(stated_ms, 0))

    @pytest.mark.parametrize(
        'key', ['', 'a b', 'i-\ufffd', 'i\r\nx', 'i' * 300]
    )
    def test_key_that_is_no_id(self, key):
        """It would be sent in a header with each request."""
        with pytest.raises(DocumentError):
            DocumentDecoder().target(key, json.dumps(dict(TARGET)).encode())

    def test_nested_as_deep_as_the_parser_takes(self):
        """A record that can be parsed but not shown is rejected."""
        for left in range(150):
            depth = sys.getrecursionlimit() - left
            nested = b'[' * depth + b']' * depth
            with pytest.raises(DocumentError):
                DocumentDecoder().target('i-1', b'{"service": %b}' % nested)


class TestSettings:
    """The settings file that the platform writes for a process."""

    def load(self, tmp_path, **fields):
        """Writes a settings file and loads it."""
        path = tmp_path / 'node.json'
        path.write_text(json.dumps({**NODE, **fields}), encoding='utf-8')
        return load_settings(str(path))

    def test_fields(self, tmp_path):
        """Known fields are decoded, and unknown fields are ignored."""
        settings = self.load(tmp_path)
        assert settings.peer_address == '10.1.0.41:7740'
        assert settings.grace_ms == 8000
        assert settings.retry_budget_limits.ratio == pytest.approx(0.2)
        assert settings.address_ttl_s == 2

    def test_missing(self, tmp_path):
        """The error names the path of the missing field."""
        with pytest.raises(DocumentError, match='listen'):
            self.load(tmp_path, listen={})
