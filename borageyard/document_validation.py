"""Validates external documents against their generated models."""

import dataclasses
import json
import pathlib
import textwrap
import traceback
from typing import TypeVar

import pydantic

ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)

MAX_SHOWN_CHARS = 120


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One validation error: its JSON path, what was found and expected."""

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        """Returns the problem as one readable line."""
        return f'{self.path}: found {self.found}; expected {self.expected}'


class DocumentError(Exception):
    """A document could not be read, parsed or validated."""

    def __init__(self, source: str, problems: tuple[Problem, ...]) -> None:
        """Initializes the error with all problems of the document.

        Args:
            source: Name of the file or message.
            problems: All problems found.
        """
        lines = '\n'.join(f'{source}: {problem}' for problem in problems)
        super().__init__(lines)
        self.source = source
        self.problems = problems


def failure_of_decoder(source: str, error: Exception) -> DocumentError:
    """Returns the refusal of a document on which its decoder failed.

    Designed for readers of what others wrote: the next read meets the same
    document again, so one that makes its decoder fail must not end the reader.

    Args:
        source: Name of the document in error messages.
        error: Any error of the decoder.
    """
    # Formatted by a function that bears errors which can't be shown.
    shown = ''.join(traceback.format_exception_only(error)).strip()
    problem = Problem(
        '$',
        'content on which its decoder failed',
        textwrap.shorten(shown, MAX_SHOWN_CHARS, placeholder='...'),
    )
    return DocumentError(source, (problem,))


def abbreviate_json(found: object) -> str:
    """Returns a value as JSON, shortened to ``MAX_SHOWN_CHARS``."""
    try:
        text = json.dumps(found, default=str)
    except (RecursionError, ValueError):
        # The parser takes deeper documents than the encoder.
        text = f'{type(found).__name__} that cannot be shown'
    return textwrap.shorten(text, MAX_SHOWN_CHARS, placeholder='...')


def check_document(
    model: type[ModelT],
    document: object,
    source: str,
) -> ModelT:
    """Validates a decoded document.

    Args:
        model: Generated model that the document must match.
        document: Decoded JSON or msgpack.
        source: Name of the document in error messages.

    Returns:
        The validated model.

    Raises:
        DocumentError: If the document does not match the model.
    """
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        problems = tuple(
            Problem(
                path=json_path(details['loc']),
                found=abbreviate_json(details['input']),
                expected=details['msg'],
            )
            for details in error.errors()
        )
        raise DocumentError(source, problems) from error
    except Exception as error:
        raise failure_of_decoder(source, error) from error


def parse_json(
    text: str | bytes,
    source: str,
    decoder: json.JSONDecoder | None = None,
) -> object:
    """Decodes JSON text.

    Args:
        text: The JSON text.
        source: Name of the document in error messages.
        decoder: Decodes the text; the standard one by default.

    Returns:
        The decoded document.

    Raises:
        DocumentError: If the text is not valid JSON.
    """
    try:
        if decoder is None:
            return json.loads(text)
        if isinstance(text, bytes):
            text = text.decode(json.detect_encoding(text), 'surrogatepass')
        return decoder.decode(text)
    except (ValueError, RecursionError) as error:
        problem = Problem('$', 'text that is not JSON', str(error))
        raise DocumentError(source, (problem,)) from error


def load_json(path: str) -> object:
    """Reads a JSON file.

    Args:
        path: Path of the file.

    Returns:
        The decoded document.

    Raises:
        DocumentError: If the file can't be read or is not valid JSON.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem('$', 'a file that cannot be read', str(error))
        raise DocumentError(path, (problem,)) from error
    return parse_json(text, path)


def json_path(location: tuple[int | str, ...]) -> str:
    """Converts a pydantic error location to a JSON path."""
    parts = (
        f'[{part}]' if isinstance(part, int) else f'.{part}'
        for part in location
    )
    joined = ''.join(parts)
    return f'${joined}'
