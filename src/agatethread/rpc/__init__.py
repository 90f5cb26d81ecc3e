"""gRPC channels and servers with mutual TLS."""

from agatethread.rpc._channels import Credentials, add_port, open_channel
from agatethread.rpc._server import AdminServer

__all__ = ["AdminServer", "Credentials", "add_port", "open_channel"]
