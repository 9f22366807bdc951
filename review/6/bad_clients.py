"""Bad clients: CONNECTIONS of them send commands of a class that doesn't exist, many at once, and again when turned away.

Arguments: port, number of connections, commands at once, seconds, and `list` or `key`: which part of a command is long.
"""

import os
import socket
import sys
import threading
import time


def command(*words):
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def main():
    port, connections, at_once, seconds = (int(text) for text in sys.argv[1:5])
    fields, key = b"c=nosuch,t=acme,d=480", b"key"
    if sys.argv[5] == "list":  # as long as a value may be: 64 KiB
        fields += b"".join(b",%c%d=" % (97 + n % 26, n) for n in range(8000))
    else:
        key = b"k" * 54_000
    raw = command(b"Q.ASK", key, b"0123456789abcdef", fields) * at_once
    ends_at = time.monotonic() + seconds

    def run():
        while time.monotonic() < ends_at:
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
                    sock.settimeout(5)
                    sock.sendall(raw)
                    while time.monotonic() < ends_at and sock.recv(65536):
                        pass  # it reads whatever it is sent
            except OSError:
                time.sleep(0.01)

    for _ in range(connections):
        threading.Thread(target=run, daemon=True).start()
    time.sleep(seconds)
    os._exit(0)


main()
