"""Decodes the items of a document that the one before did not have."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Generic, TypeVar

ItemT = TypeVar('ItemT')

# Decodes the declared fields of an item, given its place for errors.
ItemDecoder = Callable[[Mapping[str, Any], str], ItemT]


class DecodedItems(Generic[ItemT]):
    """Items of the last document, as declared and decoded.

    Designed for documents of thousands of items of which a version changes a
    few.
    """

    def __init__(self, decode_item: ItemDecoder[ItemT]) -> None:
        """Starts without a document.

        Args:
            decode_item: Decodes one item.
        """
        self._decode_item = decode_item
        self._known: dict[str, tuple[Mapping[str, Any], ItemT]] = {}

    def decode(
        self, declared: Sequence[Mapping[str, Any]], source: str
    ) -> tuple[ItemT, ...]:
        """Returns the items of a document.

        Args:
            declared: Fields of the items; their names tell which to compare.
            source: Place of the items in the document, for errors.

        Raises:
            DocumentError: If an item is malformed.
        """
        known = self._known
        self._known = {}
        decoded = []
        for number, fields in enumerate(declared):
            name = str(fields.get('name'))
            before = known.get(name)
            if before is not None and before[0] == fields:
                item = before[1]
            else:
                item = self._decode_item(fields, f'{source}[{number}]')
            self._known[name] = fields, item
            decoded.append(item)
        return tuple(decoded)
