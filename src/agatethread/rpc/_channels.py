"""Open channels and ports under the settings' keys."""

from pathlib import Path
from typing import Protocol

import grpc

from agatethread.exceptions import FieldError, SettingsError
from agatethread.settings import TlsSettings

_KEEPALIVE = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 3_000),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.enable_http_proxy", 0),
)


class Credentials(Protocol):
    """The part of the settings that decides how gRPC is secured."""

    tls: TlsSettings | None


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        fault = FieldError("settings", "tls", path, f"a readable file ({error})")
        raise SettingsError("key files can't be read", [fault]) from None


def open_channel(credentials: Credentials, target: str) -> grpc.aio.Channel:
    """Open a channel to a process of the system.

    Parameters
    ----------
    credentials : Credentials
        Settings with the key files, read anew for each channel.
    target : str
        ``IP:port``.

    Returns
    -------
    grpc.aio.Channel
        The channel; both sides are authenticated unless plain text is set.
    """
    tls = credentials.tls
    if tls is None:
        return grpc.aio.insecure_channel(target, options=_KEEPALIVE)

    channel_credentials = grpc.ssl_channel_credentials(
        root_certificates=_read(tls.authority_file),
        private_key=_read(tls.key_file),
        certificate_chain=_read(tls.certificate_file),
    )
    return grpc.aio.secure_channel(target, channel_credentials, options=_KEEPALIVE)


def _configuration(tls: TlsSettings) -> grpc.ServerCertificateConfiguration:
    pair = (_read(tls.key_file), _read(tls.certificate_file))
    return grpc.ssl_server_certificate_configuration([pair], _read(tls.authority_file))


def add_port(server: grpc.aio.Server, credentials: Credentials, address: str) -> None:
    """Make a server listen.

    Parameters
    ----------
    server : grpc.aio.Server
        The server.
    credentials : Credentials
        Settings with the key files; they are read anew for each handshake.
    address : str
        ``IP:port``.
    """
    tls = credentials.tls
    if tls is None:
        server.add_insecure_port(address)
        return

    server_credentials = grpc.dynamic_ssl_server_credentials(
        _configuration(tls), lambda: _configuration(tls), True
    )
    server.add_secure_port(address, server_credentials)
