"""Fast validation of answers and token events from targets.

It accepts the same input as the generated models (a test compares the two),
but avoids building a model for each token.
"""

import json
import types
from collections.abc import Mapping
from typing import Any

from .document_validation import abbreviate_json
from .target_client import FailureKind, TargetError

FieldTypes = Mapping[str, type]

# Fields of TargetAnswerBody.
ANSWER_FIELD_TYPES: FieldTypes = types.MappingProxyType(
    {
        'attempt_id': str,
        'output': object,
        'tokens': int,
        'cached_tokens': int,
    },
)
# Fields of TokenEventBody.
TOKEN_EVENT_FIELD_TYPES: FieldTypes = types.MappingProxyType(
    {
        'attempt_id': str,
        'offset': int,
        'token': str,
        'done': bool,
        'tokens': int,
        'cached_tokens': int,
    },
)


def parse_fields(
    payload: bytes,
    expected: FieldTypes,
    required: str,
) -> dict[str, Any]:
    """Decodes and validates an answer or a token event.

    Args:
        payload: JSON text.
        expected: Allowed fields and their types.
        required: Name of the one required field.

    Returns:
        The decoded fields.

    Raises:
        TargetError: If the payload is not JSON, lacks the required field or
            has an unknown field or a wrong type.
    """
    try:
        fields = json.loads(payload)
    except (ValueError, RecursionError) as error:
        raise TargetError(FailureKind.MALFORMED, str(error)) from error
    if not isinstance(fields, dict) or required not in fields:
        raise TargetError(FailureKind.MALFORMED, f'no {required}')
    for name, found in fields.items():
        if not _has_type(found, expected.get(name)):
            reason = f'{abbreviate_json(name)}: {abbreviate_json(found)}'
            raise TargetError(FailureKind.MALFORMED, reason)
    return fields


def _has_type(found: object, kind: type | None) -> bool:
    """Returns whether a field has its type; integers must not be negative."""
    if kind is None or kind is object:
        return kind is object
    if found.__class__ is not kind:
        return False
    return not isinstance(found, int) or found >= 0
