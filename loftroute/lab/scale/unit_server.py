"""A real unit on a loopback socket, in a process of its own: answers every command after a fixed time.

python -m loftroute.lab.scale.unit_server PORT DELAY_MS
"""

import asyncio
import sys

from loftroute.protocol import NeedMore, resp

VALUE = b"*3\r\n$8\r\nvalue-01\r\n$-1\r\n$-1\r\n"


class UnitProtocol(asyncio.Protocol):
    """One connection: commands are answered in their order."""

    def __init__(self, delay: float) -> None:
        self._delay, self._buffer = delay, bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while self._buffer:
            try:
                _, end = resp.command(self._buffer, 0, len(self._buffer))
            except NeedMore:
                return
            self._buffer = self._buffer[end:]
            self._answer()

    def _answer(self) -> None:
        if self._delay:
            asyncio.get_running_loop().call_later(self._delay, self._transport.write, VALUE)
        else:
            self._transport.write(VALUE)


async def serve(port: int, delay: float) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: UnitProtocol(delay), "127.0.0.1", port, backlog=1024)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), float(sys.argv[2]) / 1000))
