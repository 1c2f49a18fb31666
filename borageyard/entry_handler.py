"""HTTP endpoints of an entry for callers and operators."""

import asyncio
from http import HTTPStatus

from .authentication import check_organisation_token, is_operator
from .configuration_handler import CONFIGURATION_PATH, ConfigurationHandler
from .core import EntryCore
from .errors import ErrorKind, Refusal, RefusalError
from .http_messages import (
    EVENT_STREAM_TYPE,
    HttpRequest,
    HttpResponse,
    json_response,
)
from .peer_metrics import PeerMetrics
from .pipeline_interfaces import Outcome
from .policy_status import policy_status
from .requests import PipelineRequest
from .token_relay import QueueSink, TokenRelay
from .wire import (
    ORGANISATION_HEADER,
    decode_request,
    encode_outcome,
    encode_refusal,
    request_id_of,
)

DRAIN_PATH = '/v1/targets/drain'
PIPELINE_PREFIX = '/v1/pipelines/'
LARGE_BODY_BYTES = 65_536


class LargeBodyGate:
    """Lets at most one large body be decoded per event loop iteration.

    Decoding blocks the loop; many large bodies that arrive together would
    otherwise be decoded in one iteration.
    """

    def __init__(self) -> None:
        """Creates a gate without waiters."""
        self._lock = asyncio.Lock()

    async def wait_for_turn(self, size_bytes: int) -> None:
        """Waits for an event loop iteration of its own if the body is large.

        Args:
            size_bytes: Size of the body.
        """
        if size_bytes >= LARGE_BODY_BYTES:
            async with self._lock:
                await asyncio.sleep(0)


class EntryHandler:
    """Handles the HTTP requests of callers and operators."""

    def __init__(self, core: EntryCore) -> None:
        """Creates the handler of an entry.

        Args:
            core: Core that runs the requests.
        """
        self._core = core
        self._peer_metrics = PeerMetrics(core.metrics.registry)
        self._large_bodies = LargeBodyGate()
        self._configuration = ConfigurationHandler(
            core.fold,
            core.configuration.changes,
            core.settings.operator_token,
        )
        self._routes = {
            ('GET', '/v1/entries'): self._entries,
            ('POST', DRAIN_PATH): self._drain_target,
            ('GET', '/v1/status'): self._status,
            ('GET', '/metrics'): self._metrics,
            ('GET', '/healthz'): self._liveness,
            ('GET', '/readyz'): self._readiness,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Returns the response of the endpoint that a request addresses.

        Requests that cannot be served get a refusal as their response.
        """
        if request.path.startswith(PIPELINE_PREFIX):
            return await self._run_pipeline(request)
        if request.path.startswith(CONFIGURATION_PATH):
            return await self._configuration.handle(request)
        route = self._routes.get((request.method, request.path))
        if route is None:
            return self._refuse_route(request)
        return route(request)

    def _refuse_route(self, request: HttpRequest) -> HttpResponse:
        """Refuses an unknown path or a method that its path doesn't have."""
        paths = {path for _, path in self._routes}
        kind = ErrorKind.NOT_FOUND
        if request.path in paths:
            kind = ErrorKind.METHOD_NOT_ALLOWED
        return encode_refusal(request_id_of(request.headers), Refusal(kind))

    async def _run_pipeline(self, request: HttpRequest) -> HttpResponse:
        pipeline = request.path.removeprefix(PIPELINE_PREFIX)
        await self._large_bodies.wait_for_turn(len(request.body))
        try:
            decoded = self._authenticate_and_decode(request, pipeline)
        except RefusalError as error:
            self._core.metrics.count_refusal(error.refusal)
            request_id = request_id_of(request.headers)
            return encode_refusal(request_id, error.refusal)
        if decoded.stream:
            return await self._stream(decoded)
        outcome = await self._core.run(decoded)
        return encode_outcome(decoded.request_id, outcome)

    def _authenticate_and_decode(
        self, request: HttpRequest, pipeline: str
    ) -> PipelineRequest:
        """Decodes a pipeline request after checking its organisation's token.

        Raises:
            RefusalError: If the method or token is wrong, or a header or the
                body is malformed.
        """
        if request.method != 'POST':
            raise RefusalError(Refusal(ErrorKind.METHOD_NOT_ALLOWED))
        configuration = self._core.fold.current()
        if configuration is not None:
            name = request.header(ORGANISATION_HEADER)
            organisation = configuration.organisations.get(name)
            check_organisation_token(organisation, request)
        return decode_request(request, pipeline, self._core.dependencies.clock)

    async def _stream(self, request: PipelineRequest) -> HttpResponse:
        """Responds with server-sent events as soon as a token is available.

        A request that ends without a token gets a JSON response.
        """
        sink = QueueSink()
        outcome_task = asyncio.ensure_future(self._run_streamed(request, sink))
        try:
            first = await sink.queue.get()
        except asyncio.CancelledError:
            outcome_task.cancel()
            raise
        if first is None:
            return encode_outcome(request.request_id, await outcome_task)
        return HttpResponse(
            status=HTTPStatus.OK,
            content_type=EVENT_STREAM_TYPE,
            chunks=TokenRelay(request.request_id, first, sink, outcome_task),
        )

    async def _run_streamed(
        self,
        request: PipelineRequest,
        sink: QueueSink,
    ) -> Outcome:
        outcome = await self._core.run(request, sink)
        await sink.queue.put(None)
        return outcome

    def _entries(self, request: HttpRequest) -> HttpResponse:
        core = self._core
        domain = request.query.get('failure_domain', '')
        rows = [
            {
                'instance_id': row.instance_id,
                'address': row.address,
                'failure_domain': row.failure_domain,
            }
            for row in core.entry_addresses(domain)
        ]
        keep_ms = core.settings.address_ttl_ms
        return json_response({'entries': rows, 'keep_ms': keep_ms})

    def _drain_target(self, request: HttpRequest) -> HttpResponse:
        """Marks a target as leaving at an operator's request."""
        if not is_operator(self._core.settings.operator_token, request):
            return encode_refusal('', Refusal(ErrorKind.UNAUTHORISED))
        target_id = request.query.get('target_id', '')
        if not self._core.directory.mark_leaving(target_id):
            refusal = Refusal(ErrorKind.NOT_FOUND, detail=target_id)
            return encode_refusal('', refusal)
        self._core.dependencies.peers.send_gossip()
        return json_response({'target_id': target_id, 'leaving': True})

    def _status(self, request: HttpRequest) -> HttpResponse:
        core = self._core
        targets = [
            {
                'target_id': state.target_id,
                'service': state.instance.service,
                'leaving': state.leaving,
                'in_flight': state.in_flight,
            }
            for state in core.directory.all_targets()
        ]
        return json_response(
            {
                'instance_id': core.settings.instance_id,
                'failure_domain': core.settings.failure_domain,
                'configuration_version': core.fold.version,
                'draining': core.draining,
                'running': core.running,
                'claims': core.claims.status(),
                'configuration': core.configuration.status(),
                'targets': targets,
                'policy': policy_status(core.policy),
            }
        )

    def _metrics(self, request: HttpRequest) -> HttpResponse:
        self._core.metrics.update_policy(self._core.policy)
        self._core.metrics.update_claims(self._core.claims.status())
        self._update_peer_metrics()
        body = self._core.metrics.exposition()
        return HttpResponse(HTTPStatus.OK, body, 'text/plain')

    def _update_peer_metrics(self) -> None:
        core = self._core
        now_ms = core.dependencies.clock.steady_ms()
        self._peer_metrics.note_streams(core.dependencies.peer_counters)
        self._peer_metrics.note_handover(core.handover_backups)
        self._peer_metrics.note_members(core.membership, now_ms)

    def _liveness(self, request: HttpRequest) -> HttpResponse:
        return json_response({'alive': True})

    def _readiness(self, request: HttpRequest) -> HttpResponse:
        permitted = self._core.permission.check() is None
        if permitted and not self._core.draining:
            return json_response({'ready': True})
        return json_response(
            {'ready': False},
            HTTPStatus.SERVICE_UNAVAILABLE,
        )
