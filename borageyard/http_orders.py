"""HTTP clients for orders to targets and for the weight store."""

from .backing_services import PlatformError
from .document_validation import DocumentError, check_document, parse_json
from .generated.log_leases import OrderBody, OrderReplyBody, WeightRateBody
from .http_client import HttpCall, HttpCallError, HttpClient
from .http_messages import encode_json
from .orders import ORDER_TIMEOUT_MS, Order, OrderError

ORDERS_PATH = '/v1/orders'
STATUS_OK = 200
STATUS_CONFLICT = 409
RATE_TIMEOUT_MS = 500


class HttpOrderClient:
    """Sends orders over HTTP; each order ends within its timeout."""

    def __init__(self, client: HttpClient) -> None:
        """Creates the order client.

        Args:
            client: HTTP client that sends the calls.
        """
        self._client = client

    async def send(self, address: str, order: Order, number: int) -> None:
        """Sends an order.

        Raises:
            OrderError: If it failed, was refused or got no valid reply; its
                ``stale`` is true for status 409.
        """
        body = OrderBody(
            number=number,
            action=order.action,
            model=order.model,
            version=order.version,
            size_bytes=order.size_bytes,
        )
        call = HttpCall(
            address=address,
            method='POST',
            path=ORDERS_PATH,
            body=encode_json(body.model_dump()),
            timeout_ms=ORDER_TIMEOUT_MS,
            reuse=False,
        )
        try:
            reply = await self._client.request(call)
        except HttpCallError as error:
            raise OrderError(error.reason) from error
        if reply.status != STATUS_OK:
            stale = reply.status == STATUS_CONFLICT
            raise OrderError(f'status {reply.status}', stale=stale)
        try:
            check_document(
                OrderReplyBody,
                parse_json(reply.body, 'target'),
                'target',
            )
        except DocumentError as error:
            raise OrderError(str(error)) from error


class HttpWeightStore:
    """HTTP client of the weight store."""

    def __init__(self, client: HttpClient, address: str) -> None:
        """Creates the client of a store.

        Args:
            client: HTTP client that sends the calls.
            address: Address of the store.
        """
        self._client = client
        self._address = address

    async def rate_bytes_per_s(self) -> float:
        """Returns the transfer rate that all model loads share.

        Raises:
            PlatformError: If the store failed or its reply is malformed.
        """
        call = HttpCall(
            address=self._address,
            method='GET',
            path='/v1/rate',
            timeout_ms=RATE_TIMEOUT_MS,
        )
        try:
            reply = await self._client.request(call)
        except HttpCallError as error:
            raise PlatformError(error.reason) from error
        if reply.status != STATUS_OK:
            raise PlatformError(f'status {reply.status}')
        try:
            return check_document(
                WeightRateBody,
                parse_json(reply.body, 'weight store'),
                'weight store',
            ).rate_bytes_per_s
        except DocumentError as error:
            raise PlatformError(str(error)) from error
