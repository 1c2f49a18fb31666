"""Loads the settings files of entries and stand-ins."""

import pathlib
import ssl

from .document_validation import (
    DocumentError,
    Problem,
    abbreviate_json,
    check_document,
    load_json,
)
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
    """Returns the HTTP limits, or the defaults without settings."""
    if settings.http is None:
        return HttpLimits()
    return HttpLimits(**settings.http.model_dump())


def server_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Returns the TLS context of a listener, or None without settings.

    Raises:
        DocumentError: If a certificate or key can't be loaded.
    """
    return _build_context(tls, ssl.Purpose.CLIENT_AUTH)


def client_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Returns the TLS context of a client, or None without settings.

    Raises:
        DocumentError: If a certificate or key can't be loaded.
    """
    return _build_context(tls, ssl.Purpose.SERVER_AUTH)


def _build_context(
    tls: TlsSettings | None,
    purpose: ssl.Purpose,
) -> ssl.SSLContext | None:
    if tls is None:
        return None
    try:
        context = ssl.create_default_context(
            purpose,
            cafile=tls.authority_path,
        )
    except OSError as error:
        raise _tls_error('authority_path', tls, error) from error
    try:
        context.load_cert_chain(tls.certificate_path, tls.key_path)
    except OSError as error:
        raise _tls_error(_faulty_field(tls), tls, error) from error
    return context


def _faulty_field(tls: TlsSettings) -> str:
    """Returns the field of a missing file, else ``certificate_path``."""
    if not pathlib.Path(tls.certificate_path).is_file():
        return 'certificate_path'
    if not pathlib.Path(tls.key_path).is_file():
        return 'key_path'
    return 'certificate_path'


def _tls_error(
    field: str,
    tls: TlsSettings,
    error: OSError,
) -> DocumentError:
    problem = Problem(
        path=f'$.tls.{field}',
        found=abbreviate_json(getattr(tls, field)),
        expected=f'a valid PEM file ({error})',
    )
    return DocumentError('settings', (problem,))
