"""Injects faults into stand-ins over HTTP."""

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
    """Sets the faults that are named in a request.

    Args:
        faults: Data class instance with one field per fault; modified.
        request: Request whose body is a JSON object that maps fault names to
            values.

    Returns:
        All faults after the change, or status 400 with the reason if the body
        is invalid.
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
