"""The lab's proxy between two programs."""

import os
import socket

from loftroute.lab.network import ConnectionProxy


def test_a_proxy_forwards_with_more_than_1024_descriptors_open():
    """Guards against a test process with many sockets whose proxies end without a word."""
    held = [os.dup(0) for _ in range(1100)]
    try:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            proxy = ConnectionProxy(listener.getsockname())
            with socket.create_connection(("127.0.0.1", proxy.port), timeout=5) as client:
                server, _ = listener.accept()
                with server:
                    server.settimeout(5)
                    client.sendall(b"there")
                    assert server.recv(10) == b"there"
                    server.sendall(b"back")
                    assert client.recv(10) == b"back"
            proxy.close()
    finally:
        for descriptor in held:
            os.close(descriptor)
