"""gRPC channels and servers, with TLS on both sides."""

from agatethread.rpc._channels import Credentials, add_port, open_channel
from agatethread.rpc._server import AdminServer

__all__ = ["AdminServer", "Credentials", "add_port", "open_channel"]
