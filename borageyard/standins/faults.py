"""Switches faults of stand-ins over HTTP."""

import dataclasses
from http import HTTPStatus
from typing import Any

from ..document_validation import (
    DocumentError,
    Problem,
    abbreviate_json,
    parse_json,
)
from ..http_messages import HttpRequest, HttpResponse, json_response


def set_faults(faults: Any, request: HttpRequest) -> HttpResponse:
    """Sets the faults that a request names.

    Args:
        faults: Data class with a field for each fault.
        request: JSON object from names to settings.

    Returns:
        All faults as they stand then, or what is wrong with the request.
    """
    try:
        changes = _check_changes(faults, request)
    except DocumentError as error:
        return json_response({'reason': str(error)}, HTTPStatus.BAD_REQUEST)
    for name, setting in changes.items():
        setattr(faults, name, setting)
    return json_response(dataclasses.asdict(faults))


def _check_changes(faults: Any, request: HttpRequest) -> dict[str, Any]:
    changes = parse_json(request.body, 'faults')
    names = {field.name for field in dataclasses.fields(faults)}
    if isinstance(changes, dict) and names.issuperset(changes):
        return changes
    problem = Problem(
        '$', abbreviate_json(changes), f'an object of {sorted(names)}'
    )
    raise DocumentError('faults', (problem,))
