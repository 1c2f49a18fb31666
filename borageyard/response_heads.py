"""Checks of the heads of responses beyond those of h11."""

import re

import h11

# End of a head, or a line of it that begins with whitespace.
_END_OR_FOLD = re.compile(rb'\n(?:\r?\n|(?P<fold>[ \t]))')


def require_unfolded(head: bytes) -> None:
    """Refuses a line that continues the one before it (RFC 9112, 5.2).

    h11 joins such lines, so that a field of a faulty server, also its framing,
    would become part of another field.

    Args:
        head: What has arrived of the head of a response, and what follows it.

    Raises:
        h11.RemoteProtocolError: If the head has such a line.
    """
    found = _END_OR_FOLD.search(head)
    if found and found['fold']:
        raise h11.RemoteProtocolError('header line begins with whitespace')
