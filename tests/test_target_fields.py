"""Tests of the fast validation of target messages against the models."""

import json

import pydantic
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from borageyard.generated.http_bodies import TargetAnswerBody, TokenEventBody
from borageyard.target_client import TargetError
from borageyard.target_fields import (
    ANSWER_FIELD_TYPES,
    TOKEN_EVENT_FIELD_TYPES,
    parse_fields,
)

NAMES = st.sampled_from([*TOKEN_EVENT_FIELD_TYPES, 'output', 'other'])
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-3, 3),
    st.sampled_from(['', 'x']),
    st.lists(st.integers(), max_size=1),
)
EVENTS = st.dictionaries(NAMES, LEAVES)


def model_accepts(model, fields):
    """Tells whether the generated model accepts the fields unchanged."""
    try:
        model.model_validate(fields, strict=True)
    except pydantic.ValidationError:
        return False
    return True


def check_accepts(payload, types, required):
    """Tells whether ``parse_fields`` accepts a payload."""
    try:
        parse_fields(payload, types, required)
    except TargetError:
        return False
    return True


class TestParseFields:
    """``parse_fields`` accepts exactly what the model accepts."""

    @settings(derandomize=True, max_examples=400)
    @given(EVENTS)
    @example({'attempt_id': 'a', 'offset': True})
    @example({'attempt_id': 'a', 'offset': -1})
    @example({'attempt_id': 'a', 'offset': 0, 'tokens': 1})
    def test_token_event_as_model(self, fields):
        """Any token event is accepted or rejected as by the model."""
        whole = {'attempt_id': 'a', **fields}
        payload = json.dumps(whole).encode()
        checked = check_accepts(payload, TOKEN_EVENT_FIELD_TYPES, 'offset')
        assert checked == model_accepts(TokenEventBody, whole)

    @settings(derandomize=True, max_examples=400)
    @given(EVENTS)
    @example({'output': None})
    def test_answer_as_model(self, fields):
        """Any answer is accepted or rejected as by the model."""
        whole = {'attempt_id': 'a', **fields}
        payload = json.dumps(whole).encode()
        checked = check_accepts(payload, ANSWER_FIELD_TYPES, 'output')
        assert checked == model_accepts(TargetAnswerBody, whole)

    @pytest.mark.parametrize('payload', [b'', b'{', b'[]', b'\xff', b'1'])
    def test_no_object(self, payload):
        """A payload that is not a JSON object raises only ``TargetError``."""
        assert not check_accepts(payload, ANSWER_FIELD_TYPES, 'output')

    @settings(derandomize=True)
    @given(st.binary(max_size=40))
    def test_any_bytes(self, payload):
        """Arbitrary bytes never raise any error but ``TargetError``."""
        assert not check_accepts(payload, ANSWER_FIELD_TYPES, 'output')
