"""Keys by which entries recognise requests that may crash engines."""

import dataclasses
import hashlib

from .crash_correlator import request_digest
from .inbound import InboundRequest

KEY_BYTES = 6
REQUEST_PREFIX = 'r'
PART_PREFIX = 'p'
# Further parts of a prompt are not told apart.
MAX_PARTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKeys:
    """Keys of one request: its own, and those of the shared prompt parts."""

    request_key: str
    part_keys: frozenset[str]

    @property
    def all_keys(self) -> frozenset[str]:
        """Returns the key of the request and those of its parts."""
        return self.part_keys | {self.request_key}


def identify_request(request: InboundRequest) -> RequestKeys:
    """Returns the keys of a request.

    The last part of a prompt belongs to its request alone, so it has no key.

    Args:
        request: Request of a caller.
    """
    prompt = request.prompt
    digest = request_digest(request)[: 2 * KEY_BYTES]
    parts = prompt.parts[:-1] if prompt else ()
    model = prompt.model if prompt else ''
    return RequestKeys(
        REQUEST_PREFIX + digest,
        frozenset(part_key(model, part.part_id) for part in parts[:MAX_PARTS]),
    )


def part_key(model: str, part_id: str) -> str:
    """Returns the key of a part of prompts.

    Args:
        model: Model that the prompts are for.
        part_id: Id of the part.
    """
    text = f'{len(model)}\n{model}{part_id}'
    digest = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES)
    return PART_PREFIX + digest.hexdigest()


def is_request_key(key: str) -> bool:
    """Returns whether a key is that of a request, not of a prompt part.

    Args:
        key: Key of a request or of a part.
    """
    return key.startswith(REQUEST_PREFIX)
