"""Tests of the checks of what targets send, against the models."""

import json

import pydantic
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from borageyard.generated.http_bodies import TargetAnswerBody, TokenEventBody
from borageyard.target_client import TargetError
from borageyard.target_fields import (
    ANSWER_TYPES,
    TOKEN_EVENT_TYPES,
    parse_fields,
)

NAMES = st.sampled_from([*TOKEN_EVENT_TYPES, 'output', 'other'])
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-3, 3),
    st.sampled_from(['', 'x']),
    st.lists(st.integers(), max_size=1),
)
EVENTS = st.dictionaries(NAMES, LEAVES)


def model_accepts(model, fields):
    """Tells whether the generated model takes the fields as they are."""
    try:
        model.model_validate(fields, strict=True)
    except pydantic.ValidationError:
        return False
    return True


def check_accepts(payload, types, required):
    """Tells whether the cheap check takes a payload."""
    try:
        parse_fields(payload, types, required)
    except TargetError:
        return False
    return True


class TestParseFields:
    """The cheap check takes what the model takes, and nothing else."""

    @settings(derandomize=True, max_examples=400)
    @given(EVENTS)
    @example({'attempt_id': 'a', 'offset': True})
    @example({'attempt_id': 'a', 'offset': -1})
    @example({'attempt_id': 'a', 'offset': 0, 'tokens': 1})
    def test_token_event_as_model(self, fields):
        """Any fields of a token event."""
        whole = {'attempt_id': 'a', **fields}
        payload = json.dumps(whole).encode()
        checked = check_accepts(payload, TOKEN_EVENT_TYPES, 'offset')
        assert checked == model_accepts(TokenEventBody, whole)

    @settings(derandomize=True, max_examples=400)
    @given(EVENTS)
    @example({'output': None})
    def test_answer_as_model(self, fields):
        """Any fields of a whole answer."""
        whole = {'attempt_id': 'a', **fields}
        payload = json.dumps(whole).encode()
        checked = check_accepts(payload, ANSWER_TYPES, 'output')
        assert checked == model_accepts(TargetAnswerBody, whole)

    @pytest.mark.parametrize('payload', [b'', b'{', b'[]', b'\xff', b'1'])
    def test_no_object(self, payload):
        """What is no JSON object is refused, not raised."""
        assert not check_accepts(payload, ANSWER_TYPES, 'output')

    @settings(derandomize=True)
    @given(st.binary(max_size=40))
    def test_any_bytes(self, payload):
        """Bytes of any kind never raise another error."""
        assert not check_accepts(payload, ANSWER_TYPES, 'output')
