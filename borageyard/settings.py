"""Settings files of entries and stand-ins."""

import ssl

from .border import check_document, load_json
from .generated.settings import EntrySettings, StandinSettings, TlsSettings
from .http_messages import HttpLimits


def load_entry_settings(path: str) -> EntrySettings:
    """Reads the settings of an entry.

    Args:
        path: Path of the JSON file.

    Returns:
        The checked settings.

    Raises:
        DocumentError: If the file can't be read or a setting is wrong.
    """
    return check_document(EntrySettings, load_json(path), path)


def load_standin_settings(path: str) -> StandinSettings:
    """Reads the settings of a stand-in.

    Args:
        path: Path of the JSON file.

    Returns:
        The checked settings.

    Raises:
        DocumentError: If the file can't be read or a setting is wrong.
    """
    return check_document(StandinSettings, load_json(path), path)


def http_limits(settings: EntrySettings) -> HttpLimits:
    """Returns the bounds on HTTP from the settings."""
    if settings.http is None:
        return HttpLimits()
    return HttpLimits(**settings.http.model_dump())


def server_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Returns the context of a listener, or none without certificates."""
    if tls is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH,
        cafile=tls.authority_path,
    )
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    return context


def client_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Returns the context of a client, or none without certificates."""
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authority_path)
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    return context
