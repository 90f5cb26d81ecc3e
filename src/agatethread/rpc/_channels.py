"""Open gRPC channels and ports with the keys of the settings."""

from pathlib import Path
from typing import Protocol

import grpc

from agatethread.exceptions import FieldError, SettingsError
from agatethread.settings import TlsSettings

_CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 3_000),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.enable_http_proxy", 0),
)


class Credentials(Protocol):
    """Settings with the paths of the TLS files of gRPC."""

    tls: TlsSettings | None


def _read_tls_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        field_error = FieldError("settings", "tls", path, f"a readable file ({error})")
        raise SettingsError("TLS key files can't be read", [field_error]) from None


def open_channel(credentials: Credentials, target: str) -> grpc.aio.Channel:
    """Return a channel to another process of the system.

    Parameters
    ----------
    credentials : Credentials
        Settings with the TLS files, which are read for each channel.
    target : str
        ``IP:port``.

    Returns
    -------
    grpc.aio.Channel
        Channel with mutual TLS, or in plain text without TLS settings.

    Raises
    ------
    SettingsError
        If a TLS file can't be read.
    """
    tls = credentials.tls
    if tls is None:
        return grpc.aio.insecure_channel(target, options=_CHANNEL_OPTIONS)

    channel_credentials = grpc.ssl_channel_credentials(
        root_certificates=_read_tls_file(tls.authority_file),
        private_key=_read_tls_file(tls.key_file),
        certificate_chain=_read_tls_file(tls.certificate_file),
    )
    return grpc.aio.secure_channel(
        target, channel_credentials, options=_CHANNEL_OPTIONS
    )


def _read_configuration(tls: TlsSettings) -> grpc.ServerCertificateConfiguration:
    key_pair = (_read_tls_file(tls.key_file), _read_tls_file(tls.certificate_file))
    return grpc.ssl_server_certificate_configuration(
        [key_pair], _read_tls_file(tls.authority_file)
    )


def add_port(server: grpc.aio.Server, credentials: Credentials, address: str) -> None:
    """Add a listening port to a server.

    Parameters
    ----------
    server : grpc.aio.Server
        Server to extend.
    credentials : Credentials
        Settings with the TLS files, which are read for each handshake.
    address : str
        ``IP:port``.

    Raises
    ------
    SettingsError
        If a TLS file can't be read.
    """
    tls = credentials.tls
    if tls is None:
        server.add_insecure_port(address)
        return

    server_credentials = grpc.dynamic_ssl_server_credentials(
        _read_configuration(tls), lambda: _read_configuration(tls), True
    )
    server.add_secure_port(address, server_credentials)
